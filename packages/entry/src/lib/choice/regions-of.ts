import type {AdmittedRequest} from '../admission/admitted-request.js';

/** Returns the sets of allowed regions for a request: the set of its route and that of its organisation, where these have one. Pure. */
export const regionsOf = ({route, organisation}: Pick<AdmittedRequest, 'route' | 'organisation'>): ReadonlyArray<readonly string[]> =>
	[route.allowedRegions, organisation?.allowedRegions].filter(regions => regions !== undefined);
