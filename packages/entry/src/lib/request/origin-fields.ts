import type {RequestResult} from './request-result.js';

/**
Returns what the log says of the beginning of a stream: the version of its first event, and how that was found where the caller takes the
stream up. Pure. Where it was not found, `begun_version` is left out, even if an endpoint went on with the stream.
*/
export const originFields = ({origin, begunBy}: Pick<RequestResult, 'origin' | 'begunBy'>): Readonly<Record<string, string | number | undefined>> => {
	if (origin === undefined) {
		return {begun_version: begunBy?.version};
	}

	if (origin.type === 'single') {
		return {origin: origin.type, single_by: origin.by, list_age_ms: origin.listAgeMs === undefined ? undefined : Math.round(origin.listAgeMs)};
	}

	if (origin.type !== 'known') {
		return {origin: origin.type};
	}

	return {
		begun_version: origin.origin.version, origin: origin.by, origin_from: origin.from, origin_age_ms: origin.ageMs === undefined ? undefined : Math.round(origin.ageMs),
	};
};
