import type {IncomingHttpHeaders} from 'node:http';
import {httpStatus} from '@deckwheel/core';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {EndpointNotice} from './endpoint-notice.js';
import {readRequestLimit} from './read-request-limit.js';

type Head = {
	readonly statusCode?: number;
	readonly headers: IncomingHttpHeaders;
};

/** A longer rest is asked for by mistake, or the endpoint is better taken off the list: in ms. One request then finds out. */
const longestRestMs = 600_000;

/** In seconds, fractions included. Dates are not taken: clocks differ. */
const restMsOf = (text: string | undefined): number => {
	const seconds = Number(text);
	return Number.isFinite(seconds) && seconds > 0 ? Math.min(longestRestMs, seconds * 1000) : 0;
};

/** Reads what an endpoint says of itself; `undefined` when it says nothing. `now` is monotonic ms. Pure. */
export const readNotice = (head: Head, headerNames: Pick<HeaderNames, 'leaving' | 'requestLimit' | 'stamp' | 'notRun'>, now: number): EndpointNotice | undefined => {
	const {statusCode, headers} = head;
	const isLeaving = headers[headerNames.leaving] === '1';
	const restMs = statusCode === httpStatus.serviceUnavailable ? restMsOf(headers['retry-after']) : 0;
	const requestLimit = readRequestLimit(headers, headerNames)?.perSecond;
	return isLeaving || restMs > 0 || requestLimit !== undefined
		? {isLeaving, backoffUntil: restMs > 0 ? now + restMs : undefined, requestLimit}
		: undefined;
};
