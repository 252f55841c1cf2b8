import {versionOf} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ListProof} from './create-list-proof.js';
import type {ServedVersions} from './served-versions.js';
import {versionMemoryMs} from './version-memory-ms.js';

/** For how long after its last sight a version may come back to the list, in ms: after an outage, entries of endpoints are back within two seconds. */
const listSettleMs = 3000;

/** After how long a caller comes back whose stream began at a version that the list lacks because it may be old, in ms. */
const staleListRetryMs = 1000;

type Options = {
	readonly listProof: Pick<ListProof, 'isConfirmedSince'>;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Elapsed ms, suspensions included. */
	readonly elapsed: () => number;
};

const nameOf = (service: string, version: string): string => JSON.stringify([service, version]);

/** Deletes the entries that are older than a time in ms. */
const forgetBefore = (times: Map<string, number>, before: number): void => {
	for (const [name, at] of times) {
		if (at < before) {
			times.delete(name);
		}
	}
};

/** Creates a record without endpoints. */
export const createServedVersions = ({listProof, now, elapsed}: Options): ServedVersions => {
	let served: readonly ListedEndpoint[] = [];
	let firstListedAt: number | undefined;
	/** When each version was last seen to take requests, in monotonic ms, as long as that matters. */
	const seenAt = new Map<string, number>();
	/** When a stream of a version that the list lacks was first taken up, in elapsed ms. */
	const missedAt = new Map<string, number>();

	const noteMissed = (name: string): number => {
		forgetBefore(missedAt, elapsed() - versionMemoryMs);
		const at = missedAt.get(name) ?? elapsed();
		missedAt.set(name, at);
		return at;
	};

	return {
		list(endpoints) {
			firstListedAt ??= now();
			forgetBefore(seenAt, now() - listSettleMs);
			for (const endpoint of served) {
				for (const service of endpoint.serves) {
					seenAt.set(nameOf(service, versionOf(endpoint)), now());
				}
			}

			served = endpoints.filter(({isLeaving}) => !isLeaving);
			for (const endpoint of served) {
				for (const service of endpoint.serves) {
					missedAt.delete(nameOf(service, versionOf(endpoint)));
				}
			}
		},
		findGone({service, version}) {
			const ofService = served.filter(endpoint => endpoint.serves.includes(service));
			// Without any endpoint, the service is away as a whole, and may come back with this version.
			if (ofService.length === 0 || ofService.some(endpoint => versionOf(endpoint) === version)) {
				return undefined;
			}

			const name = nameOf(service, version);
			const missedSince = noteMissed(name);
			const settledAt = (seenAt.get(name) ?? firstListedAt ?? now()) + listSettleMs;
			if (settledAt > now()) {
				return {retryAt: settledAt};
			}

			return {retryAt: listProof.isConfirmedSince(missedSince) ? undefined : now() + staleListRetryMs};
		},
	};
};
