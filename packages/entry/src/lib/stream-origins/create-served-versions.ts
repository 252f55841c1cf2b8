import {versionOf} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ServedVersions} from './served-versions.js';

/** For how long after its last sight a version may come back to the list, in ms: after an outage, entries of endpoints are back within two seconds. */
const listSettleMs = 3000;

const nameOf = (service: string, version: string): string => JSON.stringify([service, version]);

/** Creates a record without endpoints. `now` returns monotonic ms. */
export const createServedVersions = (now: () => number): ServedVersions => {
	let served: readonly ListedEndpoint[] = [];
	let firstListedAt: number | undefined;
	/** When each version was last seen to take requests, in monotonic ms, as long as that matters. */
	const seenAt = new Map<string, number>();

	return {
		list(endpoints) {
			firstListedAt ??= now();
			for (const [name, at] of seenAt) {
				if (now() - at > listSettleMs) {
					seenAt.delete(name);
				}
			}

			for (const endpoint of served) {
				for (const service of endpoint.serves) {
					seenAt.set(nameOf(service, versionOf(endpoint)), now());
				}
			}

			served = endpoints.filter(({isLeaving}) => !isLeaving);
		},
		findGone({service, version}) {
			const ofService = served.filter(endpoint => endpoint.serves.includes(service));
			// Without any endpoint, the service is away as a whole, and may come back with this version.
			if (ofService.length === 0 || ofService.some(endpoint => versionOf(endpoint) === version)) {
				return undefined;
			}

			const settledAt = (seenAt.get(nameOf(service, version)) ?? firstListedAt ?? now()) + listSettleMs;
			return {retryAt: settledAt > now() ? settledAt : undefined};
		},
	};
};
