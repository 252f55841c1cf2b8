/** The versions of HTTP in which a body without a length ends only with its connection. */
const versionsWithoutChunks: ReadonlySet<string> = new Set(['0.9', '1.0']);

/**
Whether a caller of this version of HTTP gets no chunks. Such a caller cannot tell the end of a response without a length from a break. Pure.

@param httpVersion As node:http gives it, such as `1.1`; that one where none is given.
*/
export const hasNoChunks = (httpVersion = '1.1'): boolean => versionsWithoutChunks.has(httpVersion);
