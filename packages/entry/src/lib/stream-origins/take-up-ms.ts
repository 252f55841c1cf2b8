/** How long after the deadline of its request a stream may still be taken up, in ms. Callers come back within seconds, mostly within the deadline. */
export const takeUpMs = 15_000;
