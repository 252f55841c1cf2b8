import type {Ok} from './ok.js';

/** Wraps a value as a successful outcome. */
export const succeed = <T>(value: T): Ok<T> => ({ok: true, value});
