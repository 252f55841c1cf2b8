import type {EndpointExclusion} from './endpoint-exclusion.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointTable} from './endpoint-table.js';
import {findExclusion} from './find-exclusion.js';

const otherKinds: ReadonlySet<EndpointExclusion['reason']> = new Set(['unlisted', 'other_service', 'other_version']);

const isOfRequestedKind = (exclusion: EndpointExclusion | undefined): boolean => exclusion === undefined || !otherKinds.has(exclusion.reason);

const findFirstToEnd = (exclusions: readonly EndpointExclusion[]): EndpointExclusion | undefined =>
	exclusions.filter(({reason, until}) => until !== undefined && reason !== 'ended').sort((one, other) => one.until! - other.until!)[0];

/**
Tells why every endpoint of a service, and of the version where the request names one, is excluded for a request: the exclusion that ends first, else an evacuation. Pure.

Returns `undefined` where an endpoint is open to the request, where the service has no endpoint, and where all exclusions are for
other reasons and have no known end. An endpoint that has ended does not return, so its exclusion has no end that a caller could wait for.

@param now Monotonic ms.
*/
export const exclusionOfAll = (table: EndpointTable, request: Omit<EndpointRequest, 'tried'>, now: number): EndpointExclusion | undefined => {
	const found = [...table.values()].map(state => findExclusion(state, request, now)).filter(exclusion => isOfRequestedKind(exclusion));
	const exclusions = found.filter(exclusion => exclusion !== undefined);
	if (exclusions.length < found.length) {
		return undefined;
	}

	return findFirstToEnd(exclusions) ?? exclusions.find(({reason}) => reason === 'evacuated');
};
