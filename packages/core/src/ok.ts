/** The result of an operation that succeeded. */
export type Ok<T> = {readonly ok: true; readonly value: T};
