import type {AdmittedRequest} from '../admission/admitted-request.js';

/** Returns the sets of allowed regions for a request: that of its route and that of its organisation, as far as these limit regions. Pure. */
export const regionsOf = ({route, organisation}: Pick<AdmittedRequest, 'route' | 'organisation'>): ReadonlyArray<readonly string[]> =>
	[route.allowedRegions, organisation?.allowedRegions].filter(regions => regions !== undefined);
