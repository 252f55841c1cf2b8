import {stepRequestLimit, type RequestLimit} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Log} from '../../adapter/log.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';

/** The most endpoints whose limits are remembered: a bound on memory. */
const maxEndpoints = 5000;

/** The most limits that `reportAll` returns: a bound on the size of a message. */
const maxReported = 500;

type Entry = {readonly limit: RequestLimit; readonly hall: string};

type Options = {
	/** Called when an endpoint's limit changed. */
	readonly onLimitChanged: (endpoint: string) => void;
	readonly log: Log;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/** Creates an empty table. Limits are kept by the endpoint's incarnation, so an endpoint that restarts begins without a limit. */
export const createLimitTable = ({onLimitChanged, log, now}: Options): LimitTable => {
	const entries = new LRUCache<string, Entry>({max: maxEndpoints});

	const set = ({id, hall}: LimitedEndpoint, update: RequestLimit, by: 'answer' | 'peer'): boolean => {
		const before = entries.get(id)?.limit;
		const limit = stepRequestLimit(before, update);
		entries.set(id, {limit, hall});
		const isChanged = limit.perSecond !== before?.perSecond;
		if (isChanged) {
			log('endpoint_limit', {endpoint: id, per_s: limit.perSecond ?? 'none', by});
			onLimitChanged(id);
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
		applyResponse(endpoint, perSecond, askedAt) {
			// Nearly all endpoints never name a limit, and those get no entry.
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
