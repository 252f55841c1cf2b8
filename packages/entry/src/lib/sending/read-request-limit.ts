import type {IncomingHttpHeaders} from 'node:http';
import type {HeaderNames} from '../../adapter/header-names.js';

/** What the head of a response says about the endpoint's request limit. */
type StatedLimit = {
	/** Requests per second that the endpoint accepts from all hosts together; `undefined` if it has no limit. */
	readonly perSecond: number | undefined;
};

const decimalNumber = /^\d+(\.\d+)?$/;

/**
Reads an endpoint's request limit from the headers of a response. A response without the limit header says that the endpoint has no limit,
if the endpoint's stamp or its `notRun` header proves that the endpoint sent it. Pure.

@returns `undefined` if nothing is known: the limit is not a decimal number, or the response may come from another process.
*/
export const readRequestLimit = (headers: IncomingHttpHeaders, names: Pick<HeaderNames, 'requestLimit' | 'stamp' | 'notRun'>): StatedLimit | undefined => {
	const text = headers[names.requestLimit];
	if (text === undefined) {
		const isFromEndpoint = headers[names.stamp] !== undefined || headers[names.notRun] !== undefined;
		return isFromEndpoint ? {perSecond: undefined} : undefined;
	}

	return typeof text === 'string' && decimalNumber.test(text) ? {perSecond: Number(text)} : undefined;
};
