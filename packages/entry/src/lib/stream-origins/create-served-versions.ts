import {versionOf} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {StreamOrigin} from './stream-origin.js';

/** How long after its first list a host waits before it says that a version is gone for good, in ms: after an outage, entries of endpoints come back to the list within two seconds. */
const listSettleMs = 3000;

/** The versions that take new requests. */
type ServedVersions = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Whether the version has had no endpoint that takes requests for so long that none is expected to come back. */
	readonly isGone: (origin: Pick<StreamOrigin, 'service' | 'version'>) => boolean;
};

/** Creates a record without endpoints. `now` returns monotonic ms. */
export const createServedVersions = (now: () => number): ServedVersions => {
	let served: readonly ListedEndpoint[] = [];
	const startedAt = now();
	/** When each version was last seen to take requests, in monotonic ms, by service and version. */
	const seenAt = new Map<string, number>();
	const nameOf = (service: string, version: string): string => JSON.stringify([service, version]);

	return {
		list(endpoints) {
			for (const endpoint of served) {
				for (const service of endpoint.serves) {
					seenAt.set(nameOf(service, versionOf(endpoint)), now());
				}
			}

			served = endpoints.filter(({isLeaving}) => !isLeaving);
		},
		isGone({service, version}) {
			const isServed = served.some(endpoint => endpoint.serves.includes(service) && versionOf(endpoint) === version);
			return !isServed && now() - (seenAt.get(nameOf(service, version)) ?? startedAt) > listSettleMs;
		},
	};
};
