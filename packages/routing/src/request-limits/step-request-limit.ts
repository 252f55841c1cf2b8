import type {RequestLimit} from './request-limit.js';

/** The rate from which a limit counts as none, in requests a second, because no endpoint ever gets that many. */
const unlimitedFromPerSecond = 1000;

const clearIfUnlimited = (limit: RequestLimit): RequestLimit =>
	limit.perSecond !== undefined && limit.perSecond >= unlimitedFromPerSecond ? {...limit, perSecond: undefined} : limit;

const rateOf = ({perSecond = Number.POSITIVE_INFINITY}: RequestLimit): number => perSecond;

/**
Decides which limit of an endpoint is in force after one more response of the endpoint, to this or another host. Pure.

The limit that the endpoint stated last is in force. Responses may overtake each other, and a suspended host reads them late. So where the
order of two responses is unknown, the lower limit is in force until a response to a later request states another.

@param known The limit in force so far; `undefined` where none is known.
@param received The limit that the response states.
*/
export const stepRequestLimit = (known: RequestLimit | undefined, received: RequestLimit): RequestLimit => {
	const next = clearIfUnlimited(received);
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
