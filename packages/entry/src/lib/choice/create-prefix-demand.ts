import {LRUCache} from 'lru-cache';

/** The time in which a past request loses most of its weight, in ms. Some requests of each host must come within it, to tell a share by. */
const timeConstantMs = 10_000;

/** The maximum number of prompt parts whose demand is remembered: a bound on memory. */
const maxParts = 5000;

/** The maximum number of endpoints over which the prompts with one shared part are spread: a bound on the times that the part is prefilled. */
const maxSpread = 64;

type Weight = {readonly weight: number; readonly at: number};

/** How much of the demand for a service is for prompts with the same shared part, by the requests of this host. */
type PrefixDemand = {
	/** Notes a request of a service, with the shared part of its prompt; `undefined` for a request without one. */
	readonly note: (service: string, part: string | undefined) => void;
	/**
	Returns over how many of a service's endpoints the prompts with a shared part are spread, so that none of them gets many more requests
	than others: a power of two, so that hosts that counted a little differently mostly agree.
	*/
	readonly spreadOf: (service: string, part: string, endpointCount: number) => number;
};

/** Creates the demand of a host that got no request yet. `now` returns monotonic ms. */
export const createPrefixDemand = (now: () => number): PrefixDemand => {
	const services = new Map<string, Weight>();
	const parts = new LRUCache<string, Weight>({max: maxParts});

	const weightOf = (known: Weight | undefined): number =>
		known ? known.weight * Math.exp((known.at - now()) / timeConstantMs) : 0;

	const keyOf = (service: string, part: string): string => `${service}\n${part}`;

	return {
		note(service, part) {
			services.set(service, {weight: weightOf(services.get(service)) + 1, at: now()});
			if (part !== undefined) {
				const key = keyOf(service, part);
				parts.set(key, {weight: weightOf(parts.get(key)) + 1, at: now()});
			}
		},
		spreadOf(service, part, endpointCount) {
			// A single request tells no share. It is left out, so that rare parts are prefilled at one endpoint only.
			const repeated = Math.max(0, weightOf(parts.get(keyOf(service, part))) - 1);
			const share = repeated === 0 ? 0 : repeated / weightOf(services.get(service));
			return 2 ** Math.ceil(Math.log2(Math.min(maxSpread, Math.max(1, share * endpointCount))));
		},
	};
};
