import type {Suspicion} from './suspicion.js';

/** Of a request that nothing is held against. */
export const noSuspicion: Suspicion = {ends: new Map(), cleared: new Set()};
