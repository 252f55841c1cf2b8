import type {RequestLimit} from './request-limit.js';

/** A limit at or above this binds no endpoint, in requests a second: it counts as none. */
const bindingBelowPerSecond = 1000;

type LimitEvent =
	/** An answer of the endpoint named a limit, or none; in monotonic ms. */
	| {readonly type: 'answered'; readonly perSecond: number | undefined; readonly sentAt: number; readonly answeredAt: number}
	/** A peer told what it knows, or knew of it. */
	| {readonly type: 'told'; readonly limit: RequestLimit};

const bindingRate = (perSecond: number | undefined): number | undefined =>
	perSecond !== undefined && perSecond < bindingBelowPerSecond ? perSecond : undefined;

/**
Moves what is known of an endpoint's limit on by one event. Pure. What was said last counts.

An answer without a limit lifts a known one only if its request was sent after that one was named: answers of several connections
may overtake one another.

@param known `undefined` where the endpoint never named a limit.
*/
export const stepRequestLimit = (known: RequestLimit | undefined, event: LimitEvent): RequestLimit | undefined => {
	if (event.type === 'told') {
		const {perSecond, saidAt} = event.limit;
		return saidAt > (known?.saidAt ?? Number.NEGATIVE_INFINITY) ? {perSecond: bindingRate(perSecond), saidAt} : known;
	}

	const perSecond = bindingRate(event.perSecond);
	if (perSecond !== undefined) {
		return {perSecond, saidAt: event.answeredAt};
	}

	return known !== undefined && event.sentAt > known.saidAt ? {perSecond, saidAt: event.answeredAt} : known;
};
