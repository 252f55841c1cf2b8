import type {HeaderNames} from '../../adapter/header-names.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {copyHeaders} from './copy-headers.js';

type Inputs = {
	readonly raw: readonly string[];
	readonly names: HeaderNames;
	readonly endpoint: ListedEndpoint;
	readonly organisation: string | undefined;
	readonly timeLeftMs: number;
	readonly bodyBytes: number;
	/** Where a stream is to be taken up; `undefined` leaves the caller's own word. */
	readonly lastEventId: string | undefined;
	readonly hasBody: boolean;
};

/** The headers that an endpoint gets: the caller's, less what concerns this hop, with what this host adds. */
export const forwardedHeaders = ({raw, names, endpoint, organisation, timeLeftMs, bodyBytes, lastEventId, hasBody}: Inputs): readonly string[] => {
	const dropped = new Set([
		...names.reserved,
		names.apiKey,
		names.organisation,
		names.deadline,
		names.expectedEndpoint,
		'content-length',
		'expect',
		...(lastEventId === undefined ? [] : [names.lastEventId]),
	]);
	const headers = copyHeaders(raw, dropped);
	headers.push(names.deadline, String(Math.max(1, Math.floor(timeLeftMs))), names.expectedEndpoint, endpoint.id);
	if (organisation !== undefined) {
		headers.push(names.organisation, organisation);
	}

	if (lastEventId !== undefined) {
		headers.push(names.lastEventId, lastEventId);
	}

	if (hasBody) {
		headers.push('Content-Length', String(bodyBytes));
	}

	return headers;
};
