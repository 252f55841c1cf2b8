import {doublingDelay} from '@deckwheel/core';
import {smooth} from '../lib/smooth.js';
import type {EndpointEvent} from './endpoint-event.js';
import type {EndpointInfo} from './endpoint-info.js';
import type {EndpointState} from './endpoint-state.js';
import type {EndpointTable} from './endpoint-table.js';

/** Consecutive failures after which an endpoint is ejected. A lower number would eject healthy endpoints by chance; a higher one would let more requests fail. */
const failuresBeforeEjection = 3;

/** The duration of a first ejection, in ms. It doubles with each further failure. */
const initialEjectionMs = 1000;

/** The maximum duration of an ejection, in ms. */
const maxEjectionMs = 30_000;

/**
The maximum duration of an ejection after a request that did not reach the endpoint, in ms. Such a request has not run, so finding out costs little; and
the way to the endpoint may have been cut, also for all peers, and be back at any moment.
*/
const maxUnreachedEjectionMs = 2000;

/** The duration of a request that is assumed for an endpoint at which none has succeeded yet, in ms. */
const initialServiceMs = 1000;

/** The duration per output token that is assumed for an endpoint at which no request has succeeded yet, in ms. */
const initialMsPerToken = 20;

/**
How long an endpoint's announcement that it leaves is kept after a list last contained the endpoint, in ms. An entry that expired
while the store was unavailable is listed again later, and then as ready.
*/
const leavingRetentionMs = 600_000;

const newState = (info: EndpointInfo, now: number): EndpointState => ({
	info,
	isListed: true,
	listedAt: now,
	hasAnnouncedLeaving: false,
	backoffUntil: 0,
	rateLimitedUntil: 0,
	endedUntil: 0,
	inFlight: 0,
	startedCount: 0,
	lastStartedAt: now,
	serviceMs: initialServiceMs,
	msPerToken: initialMsPerToken,
	failures: 0,
	ejectedUntil: 0,
});

const ejectedUntilAfter = (failures: number, maxMs: number, now: number): number => {
	if (failures < failuresBeforeEjection) {
		return 0;
	}

	const doublings = failures - failuresBeforeEjection;
	return now + doublingDelay({firstMs: initialEjectionMs, maxMs, doublings});
};

const afterSuccess = (state: EndpointState, event: EndpointEvent & {type: 'succeeded'}): EndpointState => ({
	...state,
	inFlight: state.inFlight - 1,
	serviceMs: smooth(state.serviceMs, event.durationMs),
	msPerToken: event.outputTokens > 0 ? smooth(state.msPerToken, event.durationMs / event.outputTokens) : state.msPerToken,
	failures: 0,
	ejectedUntil: 0,
	endedUntil: 0,
});

const afterFailure = (state: EndpointState, failures: number, maxMs: number, now: number): EndpointState => ({
	...state, inFlight: state.inFlight - 1, failures, ejectedUntil: ejectedUntilAfter(failures, maxMs, now),
});

/** Within what time failures of requests that were under way together count as one, in ms: one fault breaks them at one moment, and a busy host reads them little by little. */
const sameFaultMs = 250;

/**
A fault of the way to the endpoint, or of this host, breaks all requests there at one moment. So a failure that follows at once says more than the one
before it only where its request was sent after that one.
*/
const isNewFailure = ({failedAt}: EndpointState, startedAt: number | undefined, now: number): boolean =>
	startedAt === undefined || failedAt === undefined || startedAt >= failedAt || now - failedAt >= sameFaultMs;

const asListed = (state: EndpointState, info: EndpointInfo, now: number): EndpointState => ({
	...state, info: {...info, isLeaving: info.isLeaving || state.hasAnnouncedLeaving}, isListed: true, listedAt: now,
});

const isRetained = ({isListed, inFlight, hasAnnouncedLeaving, listedAt, backoffUntil}: EndpointState, now: number): boolean =>
	isListed || inFlight > 0 || backoffUntil > now || (hasAnnouncedLeaving && now - listedAt < leavingRetentionMs);

// When a list lacks an endpoint, requests may still be in flight there. The state is retained until they end, because the endpoint may be
// listed again before that.
const afterConfigured = (table: EndpointTable, endpoints: readonly EndpointInfo[], now: number): EndpointTable => {
	const next = new Map(endpoints.map(info => [info.id, asListed(table.get(info.id) ?? newState(info, now), info, now)]));
	for (const [id, state] of table) {
		const unlisted = {...state, isListed: false};
		if (!next.has(id) && isRetained(unlisted, now)) {
			next.set(id, unlisted);
		}
	}

	return next;
};

/** Applies one event to the state of one endpoint. `now` is monotonic ms. */
const stepState = (state: EndpointState, event: Exclude<EndpointEvent, {type: 'configured'}>, now: number): EndpointState => {
	switch (event.type) {
		case 'started': {
			return {
				...state, inFlight: state.inFlight + 1, startedCount: state.startedCount + 1, lastStartedAt: now,
			};
		}

		case 'succeeded': {
			return afterSuccess(state, event);
		}

		case 'failed': {
			return isNewFailure(state, event.startedAt, now)
				? {...afterFailure(state, state.failures + 1, maxEjectionMs, now), failedAt: now}
				: {...state, inFlight: state.inFlight - 1};
		}

		case 'unreached': {
			// Beyond an ejection they add nothing, so that a failure of another kind after a long cut is judged as usual.
			return afterFailure(state, Math.max(state.failures, Math.min(state.failures + 1, failuresBeforeEjection + 1)), maxUnreachedEjectionMs, now);
		}

		case 'gone': {
			return afterFailure(state, Math.max(state.failures + 1, failuresBeforeEjection), maxEjectionMs, now);
		}

		case 'leaving': {
			return {...state, info: {...state.info, isLeaving: true}, hasAnnouncedLeaving: true};
		}

		case 'rest_asked': {
			return {...state, backoffUntil: Math.max(state.backoffUntil, event.until)};
		}

		case 'ended': {
			return {...state, endedUntil: Math.max(state.endedUntil, event.until)};
		}

		// Reports that go round among peers, or that a faulty peer repeats, do not keep the endpoint excluded.
		case 'reported_ended': {
			return state.endedUntil === 0 ? {...state, endedUntil: event.until} : state;
		}

		case 'limited': {
			return {...state, rateLimitedUntil: event.until};
		}

		case 'abandoned': {
			return {...state, inFlight: state.inFlight - 1};
		}

		case 'reported': {
			return {...state, report: {total: event.total, ownInFlight: state.inFlight, receivedAt: now}};
		}
	}
};

/**
Applies one event to the table of endpoints and returns the new table. Pure.

An unlisted endpoint is removed once no request of this host is in flight there, its backoff is over, and any announcement that
it leaves has expired. An identifier names one incarnation of an endpoint's process. So an endpoint that restarts begins with a
new state, and late events of its previous incarnation do not change that state.

@param now Monotonic ms.
*/
export const stepEndpoints = (table: EndpointTable, event: EndpointEvent, now: number): EndpointTable => {
	if (event.type === 'configured') {
		return afterConfigured(table, event.endpoints, now);
	}

	const state = table.get(event.endpoint);
	if (!state) {
		return table;
	}

	const next = new Map(table);
	const stepped = stepState(state, event, now);
	if (isRetained(stepped, now)) {
		next.set(event.endpoint, stepped);
	} else {
		next.delete(event.endpoint);
	}

	return next;
};
