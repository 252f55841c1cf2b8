/** New connections that wait so long, in ms, are better taken by other hosts. */
const longMs = 400;

/** They are taken here again once they wait no longer than this, in ms. Between the two, it stays as it is. */
const shortMs = 80;

/** Decides whether new connections are better taken by other hosts, by how long they wait here. Pure. */
export const isQueueLong = (wasLong: boolean, waitedMs: number): boolean => waitedMs > (wasLong ? shortMs : longMs);
