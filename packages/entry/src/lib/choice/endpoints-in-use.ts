import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FleetConfig} from '../../config/fleet-config.js';

/** The services that a configuration names, by themselves or in a route. */
const namedServices = ({services, routes}: FleetConfig): ReadonlySet<string> =>
	new Set([...services.keys(), ...routes.flatMap(route => route.services.map(({service}) => service))]);

/** The listed endpoints that some service of the configuration has. Others are not chosen, called or judged: who listed them is not known. Pure. */
export const endpointsInUse = (listed: readonly ListedEndpoint[], config: FleetConfig | undefined): readonly ListedEndpoint[] => {
	if (!config) {
		return [];
	}

	const named = namedServices(config);
	return listed.filter(({serves}) => serves.some(service => named.has(service)));
};
