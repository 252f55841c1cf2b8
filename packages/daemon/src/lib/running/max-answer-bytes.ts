/** The largest answer of a service that is read, in bytes. An answer is held whole, since it is kept for retries with the same key. */
export const maxAnswerBytes = 16 * 1024 * 1024;
