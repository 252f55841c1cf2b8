import {LRUCache} from 'lru-cache';

/** The time in which a reading of an endpoint's load loses most of its weight, in ms: several times what a request takes, so that only lasting load counts. */
const timeConstantMs = 3000;

/** The maximum number of endpoints whose usual load is remembered: a bound on memory. */
const maxEndpoints = 5000;

/** The multiple of the service's usual load from which on an endpoint counts as heavily loaded. */
const heavyFactor = 1.5;

/** Open requests by which an endpoint must exceed that multiple, too: where less than one is open, the multiple tells nothing. */
const heavyMargin = 0.5;

/** The weight of one reading in the average over a service's endpoints, 0 to 1: about the last hundred readings count. */
const serviceWeight = 0.01;

type Average = {readonly open: number; readonly at: number};

/** The load of endpoints as it usually is, averaged over some seconds. */
type UsualLoad = {
	/** Notes how many requests are open at an endpoint of a service now. */
	readonly note: (service: string, endpoint: string, open: number) => void;
	/** Whether many more requests are usually open at an endpoint than at others of the service. */
	readonly isHeavy: (service: string, endpoint: string) => boolean;
};

/** Creates the usual load of endpoints of which nothing is known yet. `now` returns monotonic ms. */
export const createUsualLoad = (now: () => number): UsualLoad => {
	const averages = new LRUCache<string, Average>({max: maxEndpoints});
	const services = new Map<string, Average>();

	const step = (known: Average | undefined, open: number, weight: number): Average => {
		const average = known?.open ?? open;
		return {open: average + (weight * (open - average)), at: now()};
	};

	return {
		note(service, endpoint, open) {
			const known = averages.get(endpoint);
			const weight = known ? 1 - Math.exp((known.at - now()) / timeConstantMs) : 1;
			averages.set(endpoint, step(known, open, weight));
			services.set(service, step(services.get(service), open, serviceWeight));
		},
		isHeavy(service, endpoint) {
			const {open = 0} = averages.get(endpoint) ?? {};
			return open > heavyMargin + (heavyFactor * (services.get(service)?.open ?? 0));
		},
	};
};
