/**
During a surge, the host closes new connections unread once they wait longer than this, in ms. Callers with the shortest deadlines give a
request up after some 200 ms unread; one that is closed before it is read goes to another host at once, whatever it asks for.
*/
const beginWaitMs = 200;

/** The host reads new connections again once they wait at most this, in ms. Between the two bounds its state stays, so that the queue is emptied first. */
const endWaitMs = 50;

type Inputs = {
	readonly wasShedding: boolean;
	/** How long new connections wait until the host accepts them, in ms. */
	readonly waitedMs: number;
	/** Whether the host gets connections that others should get (`isConnectionSurge`). */
	readonly isSurge: boolean;
};

/**
Decides whether a host closes new connections unread. Pure.

Without a surge they wait: other hosts are as busy, and a caller that is turned away has fewer tries left.
*/
export const isSheddingConnections = ({wasShedding, waitedMs, isSurge}: Inputs): boolean =>
	wasShedding ? waitedMs > endWaitMs : isSurge && waitedMs > beginWaitMs;
