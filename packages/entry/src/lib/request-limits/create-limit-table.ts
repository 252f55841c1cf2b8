import {stepRequestLimit, type RequestLimit} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Log} from '../../adapter/log.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';

/** Endpoints whose limits are remembered: a bound on memory. */
const maxEndpoints = 5000;

/** Limits in one message: a bound on its size. */
const maxReported = 500;

type Entry = {readonly limit: RequestLimit; readonly hall: string};

type Options = {
	/** Called when an endpoint's limit changed. */
	readonly onChanged: (endpoint: string) => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates a table that knows no limit. What an endpoint said is kept by its life, so its next life begins without. */
export const createLimitTable = ({onChanged, log, now}: Options): LimitTable => {
	const entries = new LRUCache<string, Entry>({max: maxEndpoints});

	const set = ({id, hall}: LimitedEndpoint, said: RequestLimit, by: 'answer' | 'peer'): boolean => {
		const before = entries.get(id)?.limit;
		const limit = stepRequestLimit(before, said);
		entries.set(id, {limit, hall});
		const isChanged = limit.perSecond !== before?.perSecond;
		if (isChanged) {
			log('endpoint_limit', {endpoint: id, per_s: limit.perSecond ?? 'none', by});
			onChanged(id);
		}

		return isChanged;
	};

	const report: LimitTable['report'] = ({id, hall}) => {
		const {perSecond, askedAt, readAt} = entries.get(id)!.limit;
		return {
			endpoint: id,
			hall,
			...(perSecond === undefined ? {} : {perSecond}),
			askedAgoMs: Math.max(0, now() - askedAt),
			readAgoMs: Math.max(0, now() - readAt),
		};
	};

	return {
		perSecond: id => entries.get(id)?.limit.perSecond,
		applyAnswer(endpoint, perSecond, askedAt) {
			// Nearly all endpoints never name a limit.
			return (perSecond !== undefined || entries.has(endpoint.id)) && set(endpoint, {perSecond, askedAt, readAt: now()}, 'answer');
		},
		applyReport: ({endpoint: id, hall, perSecond, askedAgoMs, readAgoMs}) =>
			set({id, hall}, {perSecond, askedAt: now() - askedAgoMs, readAt: now() - readAgoMs}, 'peer'),
		report,
		reportAll: () => [...entries]
			.filter(([, {limit}]) => limit.perSecond !== undefined)
			.slice(0, maxReported)
			.map(([id, {hall}]) => report({id, hall})),
	};
};
