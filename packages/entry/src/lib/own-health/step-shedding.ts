/** The most requests that a host keeps open at once while it cannot keep up; `undefined` without a limit. */
type Shedding = number | undefined;

/** A host always serves a few: else it would not learn that it keeps up again. */
const fewestOpen = 4;

/** What the limit is multiplied by at each step while the host is late: to a third in a second. */
const shrink = 0.9;

/** What it is multiplied by at each step once the host keeps up. */
const grow = 1.1;

type Inputs = {
	/** Whether the host cannot keep up, and has not recovered. */
	readonly isOverloaded: boolean;
	/** Whether it is late right now. */
	readonly isLate: boolean;
	/** Requests open now. */
	readonly open: number;
};

/**
Moves the limit on by one step of time: as long as the host is late it shrinks, while the host recovers it stays, and
afterwards it grows until it binds no more. Pure.
*/
export const stepShedding = (limit: Shedding, {isOverloaded, isLate, open}: Inputs): Shedding => {
	if (isOverloaded) {
		return isLate ? Math.max(fewestOpen, Math.min(limit ?? open, open) * shrink) : limit;
	}

	const next = limit === undefined ? undefined : limit * grow;
	return next === undefined || next > 2 * Math.max(fewestOpen, open) ? undefined : next;
};
