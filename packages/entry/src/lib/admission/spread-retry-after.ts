import type {HostRefusal} from './host-refusal.js';

/** The part of `Retry-After` over which the returns of callers are spread. A larger part would keep callers away whose room is free. */
const spreadShare = 0.5;

/**
Spreads the returns of callers who are refused at the same moment, where room is expected little by little. Pure.

Callers come back once, at the time that they are told. All at once, most of them would find the room taken that is free by then, and be
refused for good. None is told to come back before the time of the refusal, and times that an endpoint or a rule states stay as they are.

@param random A random number from 0 up to 1.
*/
export const spreadRetryAfter = (refusal: HostRefusal, random: number): HostRefusal => {
	const {retryAfterSeconds, isRoomGradual = false} = refusal;
	if (!isRoomGradual || retryAfterSeconds === undefined) {
		return refusal;
	}

	const spreadMs = retryAfterSeconds * 1000 * (1 + (spreadShare * random));
	return {...refusal, retryAfterSeconds: Math.round(spreadMs) / 1000};
};
