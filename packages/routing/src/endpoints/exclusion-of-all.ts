import type {EndpointExclusion} from './endpoint-exclusion.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointTable} from './endpoint-table.js';
import {findExclusion} from './find-exclusion.js';

const isFor = (closure: EndpointExclusion | undefined): boolean => closure?.reason !== 'unlisted' && closure?.reason !== 'other_service';

const opensFirst = (closures: readonly EndpointExclusion[]): EndpointExclusion | undefined =>
	closures.filter(({until}) => until !== undefined).sort((one, other) => one.until! - other.until!)[0];

/**
Why no endpoint of a service is open to a request: the closure that ends first, else an evacuation; `undefined` where one is open,
where the service has none, and where they are closed for other reasons. Pure. `now` is monotonic ms.
*/
export const exclusionOfAll = (table: EndpointTable, request: Omit<EndpointRequest, 'tried'>, now: number): EndpointExclusion | undefined => {
	const found = [...table.values()].map(state => findExclusion(state, request, now)).filter(closure => isFor(closure));
	const closures = found.filter(closure => closure !== undefined);
	if (closures.length < found.length) {
		return undefined;
	}

	return opensFirst(closures) ?? closures.find(({reason}) => reason === 'evacuated');
};
