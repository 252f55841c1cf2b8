import type {Route} from '../../config/route.js';

/**
Picks a service of a route at random by weight, and returns its name; `undefined` for a route without services. Pure.

@param random A random number from 0 up to but not including 1.
*/
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
