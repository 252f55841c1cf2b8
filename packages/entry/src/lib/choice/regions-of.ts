import type {AdmittedRequest} from '../admission/admitted-request.js';

/** The sets of regions that bind a request: those of its route and those of its organisation. Pure. */
export const regionsOf = ({route, organisation}: Pick<AdmittedRequest, 'route' | 'organisation'>): ReadonlyArray<readonly string[]> =>
	[route.allowedRegions, organisation?.allowedRegions].filter(regions => regions !== undefined);
