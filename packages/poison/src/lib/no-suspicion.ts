import type {Suspicion} from './suspicion.js';

/** The suspicion of a request that no crash counts against. */
export const noSuspicion: Suspicion = {crashes: new Map(), cleared: new Set()};
