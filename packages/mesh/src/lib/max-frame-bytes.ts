/** The largest frame that a host takes from a peer. */
export const maxFrameBytes = 16_000_000;
