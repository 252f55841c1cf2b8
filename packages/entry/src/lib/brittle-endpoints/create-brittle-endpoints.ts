import {httpStatus} from '@deckwheel/core';
import {turnAwayPauseMs} from '@deckwheel/routing';
import {LRUCache} from 'lru-cache';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {Log} from '../../adapter/log.js';
import type {EndpointChooser} from '../choice/endpoint-chooser.js';
import type {BrittleEndpoints} from './brittle-endpoints.js';
import {readBrittleness} from './read-brittleness.js';

/**
The longest time for which a brittle endpoint gets nothing from this host because it turned requests away, in ms. After it, one request finds out
whether the endpoint has room again.
*/
const maxPauseMs = 10_000;

/** The most brittle endpoints that are remembered: a bound on memory. */
const maxEndpoints = 5000;

/** What is known of an endpoint that last said that it is brittle. */
type Brittleness = {
	/** How many requests a second it may turn away before it crashes. */
	readonly perSecond: number;
	/** Up to when it gets nothing from this host, in monotonic ms. */
	readonly pausedUntil: number;
};

type Options = {
	readonly headerNames: Pick<HeaderNames, 'brittleness' | 'notRun'>;
	readonly chooser: Pick<EndpointChooser, 'note'>;
	/** How many hosts may send to endpoints, this one included. */
	readonly hostCount: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the component that keeps requests away from brittle endpoints without room. It knows of none at first, and forgets one that says so no more. */
export const createBrittleEndpoints = ({headerNames, chooser, hostCount, log, now}: Options): BrittleEndpoints => {
	const brittle = new LRUCache<string, Brittleness>({max: maxEndpoints});

	const pause = (endpoint: string, {perSecond, pausedUntil}: Brittleness): void => {
		const until = Math.min(now() + maxPauseMs, Math.max(now(), pausedUntil) + turnAwayPauseMs(perSecond, hostCount()));
		brittle.set(endpoint, {perSecond, pausedUntil: until});
		chooser.note({type: 'limited', endpoint, until});
	};

	return {
		noteResponse(endpoint, {statusCode, headers}) {
			const perSecond = readBrittleness(headers, headerNames.brittleness);
			const before = brittle.get(endpoint);
			if (perSecond !== before?.perSecond) {
				log('endpoint_brittle', {endpoint, per_s: perSecond ?? 'none'});
			}

			if (perSecond === undefined) {
				brittle.delete(endpoint);
				return;
			}

			const state = {perSecond, pausedUntil: before?.pausedUntil ?? 0};
			brittle.set(endpoint, state);
			if (statusCode === httpStatus.serviceUnavailable && headers[headerNames.notRun] !== undefined) {
				pause(endpoint, state);
			}
		},
	};
};
