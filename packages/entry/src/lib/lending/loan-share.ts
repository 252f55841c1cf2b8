/**
The part of what is available that an allocator lends at once to a host of its own hall, which has no other source. The
rest is for the next one that asks.
*/
const clientShare = 0.9;

/**
The part that any host lends to a host that draws for itself, here or in another hall: both are in need then.
*/
const peerShare = 0.5;

/** Decides which part of a host's rights one loan may take, 0 to 1. Pure. */
export const loanShare = (isClient: boolean): number => isClient ? clientShare : peerShare;
