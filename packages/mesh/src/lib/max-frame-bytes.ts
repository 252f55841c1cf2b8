/** The largest frame that a host accepts from a peer, in bytes. */
export const maxFrameBytes = 16_000_000;
