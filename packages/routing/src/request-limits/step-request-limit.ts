import type {RequestLimit} from './request-limit.js';

/** A limit at or above this binds no endpoint, in requests a second: it counts as none. */
const unlimitedFromPerSecond = 1000;

const withoutNonBinding = (limit: RequestLimit): RequestLimit =>
	limit.perSecond !== undefined && limit.perSecond >= unlimitedFromPerSecond ? {...limit, perSecond: undefined} : limit;

const rateOf = ({perSecond = Number.POSITIVE_INFINITY}: RequestLimit): number => perSecond;

/**
Decides what is known of an endpoint's limit after one more answer, of whichever host. Pure.

What was said last counts. Answers overtake one another, and a host that was suspended reads them late; where their order is not known, the
lower limit counts, until an answer to a later request says otherwise.

@param known `undefined` where the endpoint never named a limit.
*/
export const stepRequestLimit = (known: RequestLimit | undefined, received: RequestLimit): RequestLimit => {
	const next = withoutNonBinding(received);
	if (!known || next.askedAt > known.readAt) {
		return next;
	}

	if (known.askedAt > next.readAt || rateOf(known) < rateOf(next)) {
		return known;
	}

	return rateOf(next) < rateOf(known)
		? next
		: {...known, askedAt: Math.max(known.askedAt, next.askedAt), readAt: Math.max(known.readAt, next.readAt)};
};
