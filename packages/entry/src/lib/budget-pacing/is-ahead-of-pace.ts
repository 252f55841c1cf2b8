import type {Pace} from './pace.js';

/**
Decides whether a request is refused because its budget would be spent too fast. Pure.

A host that has saved up its whole allowance may overdraw it: otherwise a request larger than the maximal allowance would never be served.

@param tokens What the request needs, in tokens.
*/
export const isAheadOfPace = ({allowance, maxAllowance}: Pace, tokens: number): boolean => tokens > allowance && allowance < maxAllowance;
