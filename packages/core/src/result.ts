import type {Failed} from './failed.js';
import type {Ok} from './ok.js';

/**
The result of an operation that may fail in expected ways.

Expected failures are values. Exceptions are reserved for broken invariants.
*/
export type Result<T, E> = Ok<T> | Failed<E>;
