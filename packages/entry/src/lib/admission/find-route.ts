import type {FleetConfig} from '../../config/fleet-config.js';
import type {Route} from '../../config/route.js';

/** Finds the route of a request: among the routes for its host name, the one with the longest prefix of its path. Pure. */
export const findRoute = ({routes}: FleetConfig, host: string, path: string): Route | undefined => {
	let best: Route | undefined;
	for (const route of routes) {
		const isLonger = best === undefined || route.pathPrefix.length > best.pathPrefix.length;
		if (isLonger && route.host === host && path.startsWith(route.pathPrefix)) {
			best = route;
		}
	}

	return best;
};
