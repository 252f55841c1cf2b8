import type {HeaderNames} from '../../adapter/header-names.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {copyHeaders} from './copy-headers.js';
import {toHeaderValue} from './to-header-value.js';

type Inputs = {
	/** The headers of the caller's request: names and values in turn, as node:http has them in `rawHeaders`. */
	readonly raw: readonly string[];
	readonly headerNames: HeaderNames;
	readonly endpoint: ListedEndpoint;
	/** The name of the caller's organisation; `undefined` if none is known, on a public route or in a fleet without organisations. */
	readonly organisation: string | undefined;
	/** Ms until the deadline of the request. */
	readonly timeLeftMs: number;
	readonly bodyBytes: number;
	/** The id of the event after which a stream is to be resumed; `undefined` keeps the header that the caller sent. */
	readonly lastEventId: string | undefined;
	readonly hasBody: boolean;
	/** How urgent the request is, 0 to 9; `undefined` where the endpoint is not told. */
	readonly urgency: number | undefined;
};

/**
Builds the headers of a request to an endpoint, as names and values in turn: those of the caller, without the headers that concern the
connection to this host, that callers may not set or that this host sets itself.
*/
export const forwardedHeaders = ({raw, headerNames, endpoint, organisation, timeLeftMs, bodyBytes, lastEventId, hasBody, urgency}: Inputs): readonly string[] => {
	const droppedNames = new Set([
		...headerNames.reserved,
		headerNames.apiKey,
		headerNames.organisation,
		headerNames.deadline,
		headerNames.expectedEndpoint,
		headerNames.urgency,
		'content-length',
		'expect',
		...(lastEventId === undefined ? [] : [headerNames.lastEventId]),
	]);
	const headers = copyHeaders(raw, droppedNames);
	headers.push(headerNames.deadline, String(Math.max(1, Math.floor(timeLeftMs))), headerNames.expectedEndpoint, toHeaderValue(endpoint.instance));
	if (organisation !== undefined) {
		headers.push(headerNames.organisation, toHeaderValue(organisation));
	}

	if (urgency !== undefined) {
		headers.push(headerNames.urgency, String(urgency));
	}

	if (lastEventId !== undefined) {
		headers.push(headerNames.lastEventId, lastEventId);
	}

	if (hasBody) {
		headers.push('Content-Length', String(bodyBytes));
	}

	return headers;
};
