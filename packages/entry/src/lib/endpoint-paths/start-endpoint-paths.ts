import {groupBy} from '@deckwheel/core';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import {createOpenAttempts} from '../hall-health/create-open-attempts.js';
import type {OpenAttempt} from '../hall-health/open-attempt.js';
import {createPathProber} from './create-path-prober.js';
import {createPathStates} from './create-path-states.js';
import type {EndpointPaths} from './endpoint-paths.js';

/** How often each group is checked, in ms: a fifth of the silence after which a group is probed (`silenceMs` of `stepPath`). */
const tickMs = 100;

type Options = {
	/** Tries to connect to an `ip:port`; true if the connection was accepted. */
	readonly probe: (address: string) => Promise<boolean>;
	/** Whether a peer reaches an endpoint. */
	readonly isReachedByPeer: (endpoint: ListedEndpoint) => Promise<boolean>;
	/** Closes the idle connections of this host to an endpoint. */
	readonly closeIdle: (endpoint: string) => void;
	/** A random number from 0 up to 1. */
	readonly random: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

const groupOf = ({serves}: ListedEndpoint): string => serves.join(',');

const isOf = (group: string) => ({endpoint}: OpenAttempt): boolean => groupOf(endpoint) === group;

/**
Starts the task that detects when the links of this host to endpoints are cut, and when they are back.

The task owns what is known of each group of endpoints and the set of attempts that are open over connections of this host. `stepPath` decides
when a group is probed and what counts as lost.
*/
export const startEndpointPaths = ({probe, isReachedByPeer, closeIdle, random, log, now}: Options): EndpointPaths => {
	const {stateOf, step} = createPathStates({log, now});
	const attempts = createOpenAttempts();
	const probeGroup = createPathProber({probe, isReachedByPeer, random});
	let endpointsByGroup: ReadonlyMap<string, readonly ListedEndpoint[]> = new Map();

	const leaveSilentConnections = (group: string): void => {
		for (const {id} of endpointsByGroup.get(group) ?? []) {
			closeIdle(id);
		}

		attempts.abandon(isOf(group));
	};

	const timer = setInterval(() => {
		for (const group of endpointsByGroup.keys()) {
			const {isProbeDue, isSilenceFound} = step(group, {
				type: 'ticked', oldestSentAt: attempts.oldest(isOf(group))?.sentAt, endpointCount: attempts.endpointCount(isOf(group)),
			});
			if (isSilenceFound) {
				log('path_silent', {group});
				leaveSilentConnections(group);
			}

			if (isProbeDue) {
				const oldestTried = attempts.oldest(isOf(group))?.endpoint;
				void probeGroup({state: stateOf(group), endpoints: endpointsByGroup.get(group)!, oldestTried}, event => {
					step(group, event);
				});
			}
		}
	}, tickMs);
	timer.unref();

	return {
		list(endpoints) {
			endpointsByGroup = groupBy(endpoints, groupOf);
			for (const [group, members] of endpointsByGroup) {
				step(group, {type: 'listed', endpoints: new Set(members.map(({id}) => id))});
			}
		},
		isLost(endpoint) {
			const {lost, isAllLost} = stateOf(groupOf(endpoint));
			return isAllLost || lost.has(endpoint.id);
		},
		noteConnected(endpoint) {
			step(groupOf(endpoint), {type: 'connected', endpoint: endpoint.id});
		},
		noteLost(endpoint) {
			step(groupOf(endpoint), {type: 'lost', endpoint: endpoint.id});
		},
		noteHeard(endpoint) {
			step(groupOf(endpoint), {type: 'heard'});
		},
		noteAttempt: attempts.add,
		close() {
			clearInterval(timer);
		},
	};
};
