import type {IncomingHttpHeaders} from 'node:http';
import type {HeaderNames} from '../../adapter/header-names.js';

/** What the head of an answer says of its endpoint's limit. */
type LimitStatement = {
	/** Requests a second that it takes from all hosts together; `undefined` where it names no limit. */
	readonly perSecond: number | undefined;
};

const decimalNumber = /^\d+(\.\d+)?$/;

/**
Reads what an endpoint says of its limit; `undefined` where that says nothing: a value that is no decimal number, and the head of an
answer that may not be the endpoint's own. Pure.
*/
export const readRequestLimit = (headers: IncomingHttpHeaders, names: Pick<HeaderNames, 'requestLimit' | 'stamp' | 'notRun'>): LimitStatement | undefined => {
	const text = headers[names.requestLimit];
	if (text === undefined) {
		const isOwn = headers[names.stamp] !== undefined || headers[names.notRun] !== undefined;
		return isOwn ? {perSecond: undefined} : undefined;
	}

	return typeof text === 'string' && decimalNumber.test(text) ? {perSecond: Number(text)} : undefined;
};
