import {isColdSender, type WarmupRules} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Bounds} from '../../adapter/bounds.js';
import type {Service} from '../../config/service.js';
import type {HostNames} from './host-names.js';

/** The maximum number of endpoints for which the result of `isColdSender` is remembered: a bound on memory. */
const maxRememberedEndpoints = 5000;

type Options = {
	/** The bound on requests to an endpoint that warms up; `undefined` where no bound is set. */
	readonly bound: Bounds['warmup'];
	/** The service of a name in the configuration in force. */
	readonly serviceOf: (name: string) => Service | undefined;
	/** The names of the hosts, `undefined` until the list of hosts is known. It returns the same object until the list changes. */
	readonly hosts: () => HostNames | undefined;
};

/**
Creates a function that tells how this host may use the endpoints of a service while they warm up. The function returns `undefined`
where no bound is set or the service states no rate for the warm-up. Cold endpoints are then used like warm ones.

Until the list of hosts is known, this host sends no requests to cold endpoints.
*/
export const createWarmupRules = ({bound, serviceOf, hosts}: Options): ((service: string, reopenedAt: ReadonlyMap<string, number>) => WarmupRules | undefined) => {
	const isSenderByKey = new LRUCache<string, boolean>({max: maxRememberedEndpoints});
	let knownHosts: HostNames | undefined;

	const isSender = (endpoint: string, perSecond: number): boolean => {
		const names = hosts();
		if (!names) {
			return false;
		}

		if (names !== knownHosts) {
			knownHosts = names;
			isSenderByKey.clear();
		}

		const key = `${perSecond} ${endpoint}`;
		const cached = isSenderByKey.get(key);
		if (cached !== undefined) {
			return cached;
		}

		const found = isColdSender(endpoint, {...names, perSecond});
		isSenderByKey.set(key, found);
		return found;
	};

	return (name, reopenedAt) => {
		const service = serviceOf(name);
		if (!bound || !service || service.warmupPerSecond === 0) {
			return undefined;
		}

		const perSecond = (service.warmupPerSecond * bound.overage) + bound.slack;
		return {warmupMs: service.warmupMs, reopenedAt, isSender: endpoint => isSender(endpoint, perSecond)};
	};
};
