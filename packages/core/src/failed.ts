/** The result of an operation that failed; `error` is a typed value, not an exception. */
export type Failed<E> = {readonly ok: false; readonly error: E};
