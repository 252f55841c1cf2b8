import {limitDownload} from '@deckwheel/core';
import got from 'got';
import {z} from 'zod';
import {maxReportBytes} from './max-report-bytes.js';

/** How long an endpoint may take to report, in ms. */
const pollTimeoutMs = 1000;

const loadSchema = z.object({running: z.number(), queued: z.number(), isLeaving: z.boolean().optional()});
const cacheEventsSchema = z.object({next: z.number(), blocks: z.array(z.number())});

type Options = {
	/** Called with the requests that run or wait at an endpoint. */
	readonly onLoad: (endpoint: string, total: number) => void;
	/** Called with blocks that an endpoint has cached since it was asked last. */
	readonly onCached: (endpoint: string, blocks: readonly number[]) => void;
};

/** Asks endpoints for reports. */
type EndpointPolls = {
	readonly load: (endpoint: string, url: string) => Promise<void>;
	readonly cache: (endpoint: string, url: string) => Promise<void>;
	/** Endpoints that said themselves that they are leaving. */
	readonly leaving: () => Iterable<string>;
};

const readReport = async (url: string, searchParameters: Readonly<Record<string, number>> = {}): Promise<unknown> =>
	limitDownload(got(url, {searchParams: searchParameters, timeout: {request: pollTimeoutMs}, retry: {limit: 0}}), maxReportBytes).json();

/** Creates the polls of endpoints' reports. A report that does not come is no fault: the choice does without it. */
export const createEndpointPolls = ({onLoad, onCached}: Options): EndpointPolls => {
	const cacheCursors = new Map<string, number>();
	const leaving = new Set<string>();
	return {
		async load(endpoint, url) {
			try {
				const report = loadSchema.parse(await readReport(`${url}/load`));
				onLoad(endpoint, report.running + report.queued);
				if (report.isLeaving) {
					leaving.add(endpoint);
				} else {
					leaving.delete(endpoint);
				}
			} catch {
				// The last report grows old, which the choice takes into account (`estimateLoad`). Not logged: an endpoint
				// that is down would fill the log, and its requests tell of it.
			}
		},
		async cache(endpoint, url) {
			try {
				const after = cacheCursors.get(endpoint) ?? 0;
				const events = cacheEventsSchema.parse(await readReport(`${url}/cache-events`, {after}));
				cacheCursors.set(endpoint, events.next);
				onCached(endpoint, events.blocks);
			} catch {
				// Cache events are a help, never a need. Not logged, for the same reason.
			}
		},
		leaving: () => leaving,
	};
};
