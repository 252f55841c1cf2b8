import {groupBy} from '@deckwheel/core';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import {createOpenAttempts} from './create-open-attempts.js';
import type {HallReachEvent} from './hall-reach-event.js';
import type {HallReach} from './hall-reach.js';
import type {HallMonitor} from './hall-monitor.js';
import {stepHallReach} from './step-hall-reach.js';

/** How often each hall is checked, in ms: a third of the silence after which a hall is probed (`silenceMs` of `stepHallReach`). */
const tickMs = 100;

/** The number of endpoints that one probe of a hall connects to at once, since a single endpoint may be down while its hall is reachable. */
const endpointsPerProbe = 3;

const initialReach: HallReach = {
	isUnreachable: false, heardAt: 0, hasConnectFailed: false, isProbing: false, nextProbeAt: 0,
};

// Picks `count` consecutive entries from a random position on, past the end of the list from its start again.
const pickConsecutive = <T>(entries: readonly T[], count: number): readonly T[] => {
	const start = Math.floor(Math.random() * entries.length);
	return [...entries.slice(start), ...entries.slice(0, start)].slice(0, count);
};

type Options = {
	/** The host's own hall, which is not monitored: its endpoints are judged one by one. */
	readonly hall: string;
	/** Whether a hall is evacuated: its endpoints are to get no request, and it is not probed. */
	readonly isEvacuated?: (hall: string) => boolean;
	/** Tries to connect to an `ip:port`; true if the connection was accepted. */
	readonly probe: (address: string) => Promise<boolean>;
	/** Whether a peer reaches one of the endpoints, which tells the links of this host from those of the hall; asked where no probe arrived. */
	readonly isReachedByPeer?: (endpoints: readonly ListedEndpoint[]) => Promise<boolean>;
	/** Whether this host is too late with its own work to judge others: a probe that fails then changes nothing. */
	readonly isOverloaded: () => boolean;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the task that detects when another hall becomes unreachable, so that its endpoints get no further request, and that aborts the
open attempts there whose requests may be retried elsewhere.

The task owns what is known of each hall and the set of open attempts. `stepHallReach` decides when a hall is probed and what the
result of a probe means.
*/
export const startHallMonitor = ({hall: ownHall, isEvacuated = () => false, probe, isReachedByPeer = async () => false, isOverloaded, log, now}: Options): HallMonitor => {
	const reachByHall = new Map<string, HallReach>();
	const attempts = createOpenAttempts();
	let endpointsByHall: ReadonlyMap<string, readonly ListedEndpoint[]> = new Map();

	const reachOf = (hall: string): HallReach => reachByHall.get(hall) ?? initialReach;

	const step = (hall: string, event: HallReachEvent): boolean => {
		const {reach, isProbeDue} = stepHallReach(reachOf(hall), event, now());
		reachByHall.set(hall, reach);
		return isProbeDue;
	};

	const stepOtherHall = (hall: string, event: HallReachEvent): void => {
		if (hall !== ownHall) {
			step(hall, event);
		}
	};

	const probeHall = async (hall: string): Promise<void> => {
		const picked = pickConsecutive(endpointsByHall.get(hall) ?? [], endpointsPerProbe);
		const results = await Promise.all(picked.map(async ({address}) => probe(address)));
		const hasArrived = picked.length === 0 || results.includes(true) || await isReachedByPeer(picked);
		const wasUnreachable = reachOf(hall).isUnreachable;
		const isReached = hasArrived || (isOverloaded() && !wasUnreachable);
		step(hall, {type: 'probe_ended', isReached});
		if (wasUnreachable === isReached) {
			log(isReached ? 'hall_regained' : 'hall_lost', {
				hall, probes: picked.length, arrived: results.filter(Boolean).length, overloaded: isOverloaded(),
			});
		}

		if (!isReached) {
			attempts.abandon(({endpoint}) => endpoint.hall === hall);
		}
	};

	const timer = setInterval(() => {
		for (const hall of endpointsByHall.keys()) {
			if (hall !== ownHall && !isEvacuated(hall) && step(hall, {type: 'ticked', oldestSentAt: attempts.oldest(({endpoint}) => endpoint.hall === hall)?.sentAt})) {
				void probeHall(hall);
			}
		}
	}, tickMs);

	return {
		list(endpoints) {
			endpointsByHall = groupBy(endpoints.filter(({isLeaving}) => !isLeaving), ({hall}) => hall);
		},
		isUnreachable: hall => reachOf(hall).isUnreachable,
		noteAttempt: attempts.add,
		noteHeard(hall) {
			stepOtherHall(hall, {type: 'heard'});
		},
		noteConnectFailure(hall) {
			stepOtherHall(hall, {type: 'connect_failed'});
		},
		close() {
			clearInterval(timer);
		},
	};
};
