import type {HeaderNames} from '../../adapter/header-names.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {copyHeaders} from './copy-headers.js';

type Inputs = {
	readonly raw: readonly string[];
	readonly headerNames: HeaderNames;
	readonly endpoint: ListedEndpoint;
	readonly organisation: string | undefined;
	readonly timeLeftMs: number;
	readonly bodyBytes: number;
	/** Where a stream is to be taken up; `undefined` leaves what the caller said. */
	readonly lastEventId: string | undefined;
	readonly hasBody: boolean;
};

/** The headers that an endpoint gets: the caller's, less what concerns this hop, with what this host adds. */
export const forwardedHeaders = ({raw, headerNames, endpoint, organisation, timeLeftMs, bodyBytes, lastEventId, hasBody}: Inputs): readonly string[] => {
	const dropped = new Set([
		...headerNames.reserved,
		headerNames.apiKey,
		headerNames.organisation,
		headerNames.deadline,
		headerNames.expectedEndpoint,
		'content-length',
		'expect',
		...(lastEventId === undefined ? [] : [headerNames.lastEventId]),
	]);
	const headers = copyHeaders(raw, dropped);
	headers.push(headerNames.deadline, String(Math.max(1, Math.floor(timeLeftMs))), headerNames.expectedEndpoint, endpoint.instance);
	if (organisation !== undefined) {
		headers.push(headerNames.organisation, organisation);
	}

	if (lastEventId !== undefined) {
		headers.push(headerNames.lastEventId, lastEventId);
	}

	if (hasBody) {
		headers.push('Content-Length', String(bodyBytes));
	}

	return headers;
};
