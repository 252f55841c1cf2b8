/**
The part of its available rights, 0 to 1, that an allocator lends at once to a client: a host of its hall that depends on it for rights. The
rest is left for the next client that asks.
*/
const clientShare = 0.9;

/**
The part of its available rights, 0 to 1, that a host lends at once to a host that draws for itself, in this or another hall: both may be short
of rights then.
*/
const peerShare = 0.5;

/** Decides which part of the lender's available rights, 0 to 1, one loan may take. Pure. */
export const loanShare = (isClient: boolean): number => isClient ? clientShare : peerShare;
