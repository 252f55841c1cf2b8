/** The most requests that a host keeps open at once while it cannot keep up, and until it has recovered; `undefined` without a limit. */
type OpenLimit = number | undefined;

/** The least limit. A host always serves a few requests: without any, it would not learn that it keeps up again. */
const minOpenLimit = 4;

/** The factor of the limit at each step while the host is late. With ten steps a second, a third of the limit is left after a second. */
const shrinkFactor = 0.9;

/** The factor of the limit at each step once the host keeps up. */
const growFactor = 1.1;

type Inputs = {
	/** Whether the host cannot keep up, or has not recovered from that yet. */
	readonly isOverloaded: boolean;
	/** Whether the host is late at this step. */
	readonly isLate: boolean;
	/** The number of requests that are open now. */
	readonly open: number;
};

/**
Moves the limit of open requests on by one step of time. The limit shrinks while the host is late, stays while the host recovers, and grows
once the host keeps up. It is dropped when it is far above the number of open requests. Pure.
*/
export const stepShedding = (limit: OpenLimit, {isOverloaded, isLate, open}: Inputs): OpenLimit => {
	if (isOverloaded) {
		return isLate ? Math.max(minOpenLimit, Math.min(limit ?? open, open) * shrinkFactor) : limit;
	}

	const next = limit === undefined ? undefined : limit * growFactor;
	return next === undefined || next > 2 * Math.max(minOpenLimit, open) ? undefined : next;
};
