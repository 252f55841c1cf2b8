import type {Route} from '../../config/route.js';

/** Picks a service of the route by weight. `random` is from 0 up to 1. */
export const pickService = ({services}: Route, random: number): string | undefined => {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * total;
	for (const {service, weight} of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return services.at(-1)?.service;
};
