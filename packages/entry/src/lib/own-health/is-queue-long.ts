/** The queue of new connections becomes long when they wait longer than this, in ms: other hosts should accept them then. */
const longWaitMs = 400;

/** The queue is no longer long once connections wait at most this, in ms. Between the two bounds its state stays, so that the host does not flap. */
const shortWaitMs = 80;

/** Decides whether other hosts should accept new connections instead of this one, by how long connections wait here. Pure. */
export const isQueueLong = (wasLong: boolean, waitedMs: number): boolean => waitedMs > (wasLong ? shortWaitMs : longWaitMs);
