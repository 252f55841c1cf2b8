import {setTimeout as delay} from 'node:timers/promises';
import type {Bundle} from '@deckwheel/bundle';
import {
	fail, succeed, type Result, type Refusal,
} from '@deckwheel/core';
import {
	chooseEndpoint, scoreByCost, scoreByInFlight, scoreByRoundRobin, stepEndpoints, stepRetryBudget,
	type CostRequest, type EndpointChoice, type EndpointEvent, type EndpointTable, type Priority, type ScoreEndpoint, type RetryBudget,
} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import {createBlockCacheEstimate} from './create-block-cache-estimate.js';
import {createEndpointPolls} from './create-endpoint-polls.js';
import {createRequestQueue} from './create-request-queue.js';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';
import type {RouterTask} from './router-task.js';

/** How often the queue is looked at while somebody waits, in ms. */
const pumpEveryMs = 20;

/** How often it is looked at while nobody does, in ms. */
const idlePumpMs = 500;

/**
The least time between two polls of an endpoint's load, in ms: polls are most of what an idle host does.
*/
const leastPollMs = 250;

/** Cache events are read once in so many polls of the load. */
const pollsPerCacheRead = 8;

/** Each host in the hall slows the polls of load reports by this much, so that an endpoint's load from them stays bounded, in ms. */
const pollMsPerHost = 25;

/** How much endpoint time the share of quick work is judged by, in ms. */
const shareMemoryMs = 20_000;

/** Sessions whose endpoint is remembered: a bound on memory. */
const maxSessions = 10_000;

/** When a caller should come back where no endpoint can be reached, in seconds. */
const noEndpointRetrySeconds = 2;

/** Retries that are allowed before any request was noted. */
const firstRetryCredit = 5;

/** The policies that the setting `routing` names. The last two are baselines. */
const ratings: Readonly<Record<'cost' | 'round_robin' | 'least_in_flight', ScoreEndpoint<CostRequest>>> = {cost: scoreByCost, round_robin: scoreByRoundRobin, least_in_flight: scoreByInFlight};

const noEndpoint: Result<Place, Refusal> = fail({
	code: 'no_endpoint',
	message: 'No endpoint that serves this can be reached now.',
	ran: 'not_run',
	retryAfterSeconds: noEndpointRetrySeconds,
});

type Options = {readonly hostsInHall: () => number};

/**
Starts the task that knows the endpoints and lets requests wait for them. It owns the table of endpoints, the sessions and
the retry budget; the queue belongs to `createRequestQueue`, reports of endpoints to `createEndpointPolls`.
*/
export const startRouter = (context: Context, {hostsInHall}: Options): RouterTask => {
	const {settings, clock, metrics, log} = context;
	const cacheEstimate = createBlockCacheEstimate();
	const sessions = new LRUCache<string, string>({max: maxSessions});
	let bundle: Bundle | undefined;
	let table: EndpointTable = new Map();
	let retryBudget: RetryBudget = {credit: firstRetryCredit};
	/** The part of the endpoints' time that quick requests have been taking. */
	let quickShare = 0;

	const step = (event: EndpointEvent): void => {
		const before = event.type === 'failed' ? table.get(event.endpoint)?.ejectedUntil : undefined;
		table = stepEndpoints(table, event, clock.monotonic());
		if (event.type === 'failed' && (table.get(event.endpoint)?.ejectedUntil ?? 0) > (before ?? 0)) {
			log('warn', 'endpoint_ejected', {endpoint: event.endpoint, failures: table.get(event.endpoint)?.failures});
			metrics.count('endpoint.ejected', {endpoint: event.endpoint});
		}
	};

	const polls = createEndpointPolls({
		onLoad(endpoint, total) {
			step({type: 'reported', endpoint, total});
		},
		onCached: cacheEstimate.note,
	});

	const choose = (request: PlaceRequest): EndpointChoice | undefined => chooseEndpoint(table, {
		target: request.target,
		hall: settings.hall,
		priority: request.priority,
		cachedTokens: endpoint => cacheEstimate.cachedTokens(endpoint, request.prefixBlocks),
		promptTokens: request.promptTokens,
		quickShare,
		stickyTo: request.session === undefined ? undefined : sessions.get(request.session),
		tried: [...request.tried, ...polls.leaving()],
	}, clock.monotonic(), ratings[settings.routing]);

	const urlOf = (endpoint: string): string | undefined => bundle?.endpoints.find(({id}) => id === endpoint)?.url;

	const noteShare = (priority: Priority, ms: number): void => {
		const weight = Math.min(1, ms / shareMemoryMs);
		quickShare += weight * ((priority === 'quick' ? 1 : 0) - quickShare);
	};

	const take = (request: PlaceRequest, {endpoint, reason}: EndpointChoice): Place => {
		const startedAt = clock.monotonic();
		step({type: 'started', endpoint});
		cacheEstimate.note(endpoint, request.prefixBlocks);
		if (request.session !== undefined) {
			sessions.set(request.session, endpoint);
		}

		return {
			endpoint,
			url: urlOf(endpoint)!,
			reason,
			succeeded(outputTokens) {
				const durationMs = clock.monotonic() - startedAt;
				noteShare(request.priority, durationMs);
				step({
					type: 'succeeded', endpoint, durationMs, outputTokens,
				});
				queue.pump();
			},
			failed() {
				step({type: 'failed', endpoint, startedAt});
				queue.pump();
			},
			abandoned() {
				step({type: 'abandoned', endpoint});
				queue.pump();
			},
		};
	};

	const queue = createRequestQueue(context, {
		hasPlace: request => choose(request)?.hasCapacity === true,
		takePlace(request) {
			const choice = choose(request);
			return choice && take(request, choice);
		},
		onWait() {
			pumping.wake();
		},
	});

	let polled = 0;
	const polling = repeat(async () => {
		const near = (bundle?.endpoints ?? []).filter(({id, kind, hall}) =>
			kind === 'model' && (hall === settings.hall || (table.get(id)?.inFlight ?? 0) > 0));
		const isCacheTurn = polled++ % pollsPerCacheRead === 0;
		await Promise.all(near.flatMap(({id, url}) => [polls.load(id, url), ...(isCacheTurn ? [polls.cache(id, url)] : [])]));
	}, () => Math.max(leastPollMs, hostsInHall() * pollMsPerHost));

	const pumping = repeat(async () => {
		queue.pump();
		await delay(0);
	}, () => queue.length() > 0 ? pumpEveryMs : idlePumpMs);

	return {
		configure(next) {
			bundle = next;
			step({type: 'configured', endpoints: next.endpoints});
			queue.pump();
		},
		async place(request) {
			({budget: retryBudget} = stepRetryBudget(retryBudget, 'request'));
			const choice = choose(request);
			if (!choice) {
				return noEndpoint;
			}

			if (choice.hasCapacity && !queue.isAhead(request)) {
				return succeed(take(request, choice));
			}

			return queue.wait(request, bundle?.limits.maxQueued ?? 0);
		},
		mayRetry() {
			const {budget, isAllowed} = stepRetryBudget(retryBudget, 'retry');
			retryBudget = budget;
			metrics.count('retry', {allowed: String(isAllowed)});
			return isAllowed;
		},
		urlOf,
		table: () => table,
		async stop() {
			await Promise.all([polling.stop(), pumping.stop()]);
			queue.turnAllAway();
		},
	};
};
