import type {Route} from '../route.js';

/** Picks a service of the route by weight. `random` is from 0 up to 1. */
export const pickBackend = ({backends}: Route, random: number): string | undefined => {
	const total = backends.reduce((sum, {weight}) => sum + weight, 0);
	let rest = random * total;
	for (const {service, weight} of backends) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return backends.at(-1)?.service;
};
