import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FleetConfig} from '../../config/fleet-config.js';

/** Returns the names of the services that a configuration defines or that one of its routes names. */
const namedServices = ({services, routes}: FleetConfig): ReadonlySet<string> =>
	new Set([...services.keys(), ...routes.flatMap(route => route.services.map(({service}) => service))]);

/**
Returns the listed endpoints that serve at least one service that the configuration names. Pure.

The other endpoints get no requests and no probes, and their health is not judged, because it is unknown who listed them.

@param config `undefined` before the first configuration, when no endpoint is in use.
*/
export const endpointsInUse = (listed: readonly ListedEndpoint[], config: FleetConfig | undefined): readonly ListedEndpoint[] => {
	if (!config) {
		return [];
	}

	const named = namedServices(config);
	return listed.filter(({serves}) => serves.some(service => named.has(service)));
};
