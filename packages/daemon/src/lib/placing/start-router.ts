import {setTimeout as delay} from 'node:timers/promises';
import type {Bundle} from '@deckwheel/bundle';
import {
	fail, succeed, type Outcome, type Refusal,
} from '@deckwheel/core';
import {
	chooseEndpoint, emptyWaitingRoom, enterWaitingRoom, expireWaitingRoom, leaveWaitingRoom, rateByCost, rateByInFlight, rateByTurn, retryAfter, stepEndpoints, stepRetryBudget,
	type CostRequest, type EndpointChoice, type EndpointEvent, type EndpointTable, type Priority, type RateEndpoint, type RetryBudget, type WaitingRequest, type WaitingRoom,
} from '@deckwheel/routing';
import got from 'got';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import {createBlockCacheEstimate} from './create-block-cache-estimate.js';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';
import type {RouterTask} from './router-task.js';

/** How often the queue is looked at while somebody waits, in ms. Chosen without a measurement. */
const pumpEveryMs = 20;

/** How often it is looked at while nobody does, in ms. Chosen without a measurement. */
const idlePumpMs = 500;

/** The least time between two polls of an endpoint's load, in ms: it was 100, and 250 brought an idle host's cost down (docs/design/routing.md). */
const leastPollMs = 250;

/** Cache events are read once in so many polls of the load. */
const pollsPerCacheRead = 8;
/** Each host in the hall slows the polls of load reports by this much, so that an endpoint's load from them stays bounded. */
const pollMsPerHost = 25;

/** How long an endpoint may take to report, in ms. Chosen without a measurement. */
const pollTimeoutMs = 1000;
/** How much endpoint time the share of quick work is judged by, in ms. */
const shareMemoryMs = 20_000;

/** Sessions whose endpoint is remembered: a bound on memory. Chosen without a measurement. */
const maxSessions = 10_000;

/** When a caller should come back where no endpoint can be reached, in seconds. Chosen without a measurement. */
const noEndpointRetrySeconds = 2;

const loadSchema = z.object({running: z.number(), queued: z.number(), isLeaving: z.boolean().optional()});
const cacheEventsSchema = z.object({next: z.number(), blocks: z.array(z.number())});

/** The policies that the setting `routing` names. The last two are baselines. */
const ratings: Readonly<Record<'cost' | 'round_robin' | 'least_in_flight', RateEndpoint<CostRequest>>> = {cost: rateByCost, round_robin: rateByTurn, least_in_flight: rateByInFlight};

type Waiter = {
	readonly req: PlaceRequest;
	readonly resolve: (outcome: Outcome<Place, Refusal>) => void;
};

type Options = {readonly hostsInHall: () => number};

/** Starts the task that knows the endpoints and lets requests wait for them. */
export const startRouter = ({settings, clock, metrics, log}: Context, {hostsInHall}: Options): RouterTask => {
	const cacheEstimate = createBlockCacheEstimate();
	const sessions = new LRUCache<string, string>({max: maxSessions});
	const waiters = new Map<number, Waiter>();
	const cacheCursors = new Map<string, number>();
	const leaving = new Set<string>();
	let bundle: Bundle | undefined;
	let table: EndpointTable = new Map();
	let room: WaitingRoom = emptyWaitingRoom;
	let retryBudget: RetryBudget = {credit: 5};
	let nextId = 1;
	let polls = 0;
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

	const choose = (request: PlaceRequest): EndpointChoice | undefined => chooseEndpoint(table, {
		target: request.target,
		hall: settings.hall,
		priority: request.priority,
		cachedTokens: endpoint => cacheEstimate.cachedTokens(endpoint, request.prefixBlocks),
		promptTokens: request.promptTokens,
		quickShare,
		stickyTo: request.session === undefined ? undefined : sessions.get(request.session),
		tried: [...request.tried, ...leaving],
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
				noteShare(request.priority, clock.monotonic() - startedAt);
				step({
					type: 'succeeded', endpoint, durationMs: clock.monotonic() - startedAt, outputTokens,
				});
				pump();
			},
			failed() {
				step({type: 'failed', endpoint});
				pump();
			},
			abandoned() {
				step({type: 'abandoned', endpoint});
				pump();
			},
		};
	};

	const overloaded = (): Outcome<Place, Refusal> => {
		metrics.count('queue.refused');
		return fail({
			code: 'overloaded',
			message: 'All endpoints are busy, and the request could not start in time.',
			ran: 'not_run',
			retryAfterSeconds: retryAfter(room),
		});
	};

	const noEndpoint: Outcome<Place, Refusal> = fail({
		code: 'no_endpoint',
		message: 'No endpoint that serves this can be reached now.',
		ran: 'not_run',
		retryAfterSeconds: noEndpointRetrySeconds,
	});

	const turnAway = (requests: readonly WaitingRequest[]): void => {
		for (const {id} of requests) {
			const waiter = waiters.get(id);
			waiters.delete(id);
			waiter?.resolve(overloaded());
		}
	};

	const startNext = (): boolean => {
		const exit = leaveWaitingRoom(room, ({id}) => choose(waiters.get(id)!.req)?.hasRoom === true, clock.monotonic());
		room = exit.room;
		if (!exit.next) {
			return false;
		}

		const {req, resolve} = waiters.get(exit.next.id)!;
		waiters.delete(exit.next.id);
		resolve(succeed(take(req, choose(req)!)));
		return true;
	};

	const pump = (): void => {
		const {room: next, expired} = expireWaitingRoom(room, clock.monotonic());
		room = next;
		turnAway(expired);
		while (room.waiting.length > 0 && startNext()) {
			// Each turn starts one request.
		}

		metrics.gauge('queue.length', room.waiting.length);
	};

	const wait = async (request: PlaceRequest): Promise<Outcome<Place, Refusal>> => {
		const {target, organisation, weight, priority, deadline} = request;
		const id = nextId++;
		const limit = bundle?.limits.maxQueued ?? 0;
		const entry = enterWaitingRoom(room, {
			id, target, organisation, weight, priority, startBy: deadline,
		}, limit, clock.monotonic());
		room = entry.room;
		if (!entry.isAdmitted) {
			return overloaded();
		}

		pumping.wake();
		return new Promise(resolve => {
			waiters.set(id, {req: request, resolve});
		});
	};

	const isAhead = ({priority}: PlaceRequest): boolean =>
		room.waiting.some(other => other.priority === priority || priority === 'slow' || other.priority === 'quick');

	const pollLoad = async (endpoint: string, url: string): Promise<void> => {
		try {
			const report = loadSchema.parse(await got(`${url}/load`, {timeout: {request: pollTimeoutMs}, retry: {limit: 0}}).json());
			step({type: 'reported', endpoint, total: report.running + report.queued});
			// An endpoint may say itself that it is leaving.
			if (report.isLeaving) {
				leaving.add(endpoint);
			} else {
				leaving.delete(endpoint);
			}
		} catch {
			// A report that does not come makes the last one old, and the choice does without it.
		}
	};

	const pollCache = async (endpoint: string, url: string): Promise<void> => {
		try {
			const after = cacheCursors.get(endpoint) ?? 0;
			const events = cacheEventsSchema.parse(await got(`${url}/cache-events`, {searchParams: {after}, timeout: {request: pollTimeoutMs}, retry: {limit: 0}}).json());
			cacheCursors.set(endpoint, events.next);
			cacheEstimate.note(endpoint, events.blocks);
		} catch {
			// Cache events are a help, never a need.
		}
	};

	const polling = repeat(async () => {
		const polled = (bundle?.endpoints ?? []).filter(({id, kind, hall}) =>
			kind === 'model' && (hall === settings.hall || (table.get(id)?.inFlight ?? 0) > 0));
		const isCacheTurn = polls++ % pollsPerCacheRead === 0;
		await Promise.all(polled.flatMap(({id, url}) => [pollLoad(id, url), ...(isCacheTurn ? [pollCache(id, url)] : [])]));
	}, () => Math.max(leastPollMs, hostsInHall() * pollMsPerHost));

	const pumping = repeat(async () => {
		pump();
		await delay(0);
	}, () => room.waiting.length > 0 ? pumpEveryMs : idlePumpMs);

	return {
		configure(next) {
			bundle = next;
			step({type: 'configured', endpoints: next.endpoints});
			pump();
		},
		async place(request) {
			({budget: retryBudget} = stepRetryBudget(retryBudget, 'request'));
			const choice = choose(request);
			if (!choice) {
				return noEndpoint;
			}

			return choice.hasRoom && !isAhead(request) ? succeed(take(request, choice)) : wait(request);
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
			turnAway(room.waiting);
		},
	};
};
