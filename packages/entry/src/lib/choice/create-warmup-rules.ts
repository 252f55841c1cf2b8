import {isColdSender, type WarmupRules} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Bounds} from '../../adapter/bounds.js';
import type {Service} from '../../config/service.js';
import type {HostNames} from './host-names.js';

/** Endpoints for which it is remembered whether this host sends there while they are cold: a bound on memory. */
const maxRememberedEndpoints = 5000;

type Options = {
	readonly bound: Bounds['warmup'];
	readonly serviceOf: (name: string) => Service | undefined;
	/** `undefined` until the list of hosts is known. The same value until it changes. */
	readonly hosts: () => HostNames | undefined;
};

/** Creates what knows how this host may use endpoints that warm up; `undefined` for services that set no bound on it. */
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
