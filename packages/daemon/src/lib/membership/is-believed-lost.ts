/** What a host knows of another incarnation, to judge whether its memory is lost. */
type Evidence = {
	/** A later incarnation of the same host runs. */
	readonly isReplaced: boolean;
	readonly wasHeard: boolean;
	readonly silentMs: number;
	/** Silence after which a host that was heard of counts as lost, in ms. */
	readonly lostAfterMs: number;
	/** Whether the platform's list shows the host as live; assumed while no whole list was read. */
	readonly isListed: boolean;
	/** Whether this host hears any other host of its hall. */
	readonly hearsOthers: boolean;
};

/** A host that this one never heard of may serve well: this one may be new, or badly connected. */
const neverHeardLostMs = 15_000;

/**
Whether an incarnation is believed never to come back with what it knew.

A wrong yes makes a hall forget its claims and strands its rights. So a host that hears nobody
must not judge by silence alone: it may itself be the one that is cut off.
*/
export const isBelievedLost = ({isReplaced, wasHeard, silentMs, lostAfterMs, isListed, hearsOthers}: Evidence): boolean => {
	if (isReplaced) {
		return true;
	}

	return wasHeard
		? silentMs > lostAfterMs && (hearsOthers || !isListed)
		: silentMs > neverHeardLostMs && !isListed;
};
