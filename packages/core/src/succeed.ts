import type {Ok} from './ok.js';

/** Wraps a value as a successful result. */
export const succeed = <T>(value: T): Ok<T> => ({ok: true, value});
