/**
The share of the limit that is kept for the most urgent requests. Callers of urgent routes feel each try at another host most, and three quarters are
still open to all others.
*/
const urgentShare = 1 / 4;

/** The share of the limit up to which less urgent requests are admitted even where urgent ones fill the rest, so that none of their routes starves. */
const guaranteedShare = 1 / 8;

type Inputs = {
	/** The most requests that the host keeps open; `undefined` without a limit. */
	readonly openLimit: number | undefined;
	/** The requests that are open now, with the one in question. */
	readonly open: number;
	/** The less urgent ones among them, without the one in question. */
	readonly openLessUrgent: number;
	/** 0 for the most urgent requests. */
	readonly rank: number;
};

/** Decides whether one more request would be above the limit of open requests of a host that cannot keep up. Pure. */
export const isAboveOpenLimit = ({openLimit, open, openLessUrgent, rank}: Inputs): boolean => {
	if (openLimit === undefined) {
		return false;
	}

	const isBelowOwnShare = open <= openLimit * (1 - urgentShare) || openLessUrgent < openLimit * guaranteedShare;
	return open > openLimit || (rank > 0 && !isBelowOwnShare);
};
