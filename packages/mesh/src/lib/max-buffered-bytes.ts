/** The most bytes that may wait unsent on one connection. Beyond it, the connection is terminated; the next use of the link dials a new one. */
export const maxBufferedBytes = 32_000_000;
