/** The most bytes that are held of a response which can be relayed: few are longer, and a break up to there can be made good at another endpoint. */
export const maxHeldBytes = 1024 * 1024;

/** The most bytes that are held of a response which cannot be relayed as it comes. A longer one is broken off. */
export const maxUnrelayedBytes = 4 * maxHeldBytes;

/** The most bytes of a response that is not a stream, well above any sound one. One that is longer is broken off, and counts as a failure of its endpoint. */
export const maxResponseBytes = 64 * maxHeldBytes;
