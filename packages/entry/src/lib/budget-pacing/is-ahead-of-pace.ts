import type {Pace} from './pace.js';

/**
Decides whether a request is turned away since its budget would be spent too fast. Pure.

Who has saved up all that can be may go into debt: otherwise a large request would never be served.
*/
export const isAheadOfPace = ({allowance, maxAllowance}: Pace, tokens: number): boolean => tokens > allowance && allowance < maxAllowance;
