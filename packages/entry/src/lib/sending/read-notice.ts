import type {IncomingHttpHeaders} from 'node:http';
import {httpStatus} from '@deckwheel/core';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {EndpointNotice} from './endpoint-notice.js';
import {readRequestLimit} from './read-request-limit.js';

type Head = {
	readonly statusCode?: number;
	readonly headers: IncomingHttpHeaders;
};

/**
The longest backoff that an endpoint is granted, in ms. A longer one is asked for by mistake, or by an endpoint that should be taken off
the list instead. After this time one request finds out whether the endpoint still asks for a backoff.
*/
const maxBackoffMs = 600_000;

/** Reads a `Retry-After` header in seconds, fractions included, as ms; 0 if it asks for no backoff. Dates are ignored, since clocks differ between hosts. */
const backoffMsOf = (retryAfter: string | undefined): number => {
	const seconds = Number(retryAfter);
	return Number.isFinite(seconds) && seconds > 0 ? Math.min(maxBackoffMs, seconds * 1000) : 0;
};

/** Reads what an endpoint announces in the head of a response; `undefined` if it announces nothing. `now` is monotonic ms. Pure. */
export const readNotice = (head: Head, headerNames: Pick<HeaderNames, 'leaving' | 'requestLimit' | 'stamp' | 'notRun'>, now: number): EndpointNotice | undefined => {
	const {statusCode, headers} = head;
	const isLeaving = headers[headerNames.leaving] === '1';
	const backoffMs = statusCode === httpStatus.serviceUnavailable ? backoffMsOf(headers['retry-after']) : 0;
	const requestLimit = readRequestLimit(headers, headerNames)?.perSecond;
	return isLeaving || backoffMs > 0 || requestLimit !== undefined
		? {isLeaving, backoffUntil: backoffMs > 0 ? now + backoffMs : undefined, requestLimit}
		: undefined;
};
