/**
The host closes new connections unread once they wait longer than this, in ms. Callers with the shortest deadlines give a request up after
some 200 ms unread; one that is closed before it is read goes to another host at once, whatever it asks for.
*/
const beginWaitMs = 200;

/** The host reads new connections again once they wait at most this, in ms. Between the two bounds its state stays, so that the queue is emptied first. */
const endWaitMs = 50;

/** Decides whether a host closes new connections unread, by how long connections wait until it accepts them. Pure. */
export const isSheddingConnections = (wasShedding: boolean, waitedMs: number): boolean => waitedMs > (wasShedding ? endWaitMs : beginWaitMs);
