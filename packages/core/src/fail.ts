import type {Failed} from './failed.js';

/** Wraps an expected error as a failed result. */
export const fail = <E>(error: E): Failed<E> => ({ok: false, error});
