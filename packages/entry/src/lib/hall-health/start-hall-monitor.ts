import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import {createOpenAttempts} from './create-open-attempts.js';
import type {HallReachEvent} from './hall-reach-event.js';
import type {HallReach} from './hall-reach.js';
import type {HallMonitor} from './hall-monitor.js';
import {stepHallReach} from './step-hall-reach.js';

/** How often each hall is looked at, in ms: a third of the silence that brings a probe. */
const tickMs = 100;

/** Endpoints that one probe of a hall calls at once: a single one may be gone alone. */
const probesAtOnce = 3;

const inReach: HallReach = {
	isLost: false, heardAt: 0, isDoubted: false, isProbing: false, probeAgainAt: 0,
};

const groupByHall = (endpoints: readonly ListedEndpoint[]): ReadonlyMap<string, readonly ListedEndpoint[]> => {
	const byHall = new Map<string, ListedEndpoint[]>();
	for (const endpoint of endpoints) {
		byHall.set(endpoint.hall, [...byHall.get(endpoint.hall) ?? [], endpoint]);
	}

	return byHall;
};

// Neighbours in the list, from a place picked at random.
const pickSome = <T>(entries: readonly T[], count: number): readonly T[] => {
	const start = Math.floor(Math.random() * entries.length);
	return [...entries.slice(start), ...entries.slice(0, start)].slice(0, count);
};

type Options = {
	/** The host's own hall; its endpoints are judged one by one. */
	readonly hall: string;
	/** Whether a hall's endpoints are to get nothing: it is not probed then. */
	readonly isEvacuated?: (hall: string) => boolean;
	/** Tries a connection to an address. */
	readonly probe: (address: string) => Promise<boolean>;
	/** Whether this host is too late with its own work to judge others. */
	readonly isOverloaded: () => boolean;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the task that finds out when another hall can no longer be reached, so that requests stay away from all its
endpoints at once, and those that wait for one there are made again elsewhere.

It owns what is known of each hall and the list of tries under way; when to probe and what a probe means is decided by
`stepHallReach`.
*/
export const startHallMonitor = ({hall: ownHall, isEvacuated = () => false, probe, isOverloaded, log, now}: Options): HallMonitor => {
	const reaches = new Map<string, HallReach>();
	const attempts = createOpenAttempts();
	let byHall: ReadonlyMap<string, readonly ListedEndpoint[]> = new Map();

	const reachOf = (hall: string): HallReach => reaches.get(hall) ?? inReach;

	const step = (hall: string, event: HallReachEvent): boolean => {
		const {reach, isProbeDue} = stepHallReach(reachOf(hall), event, now());
		reaches.set(hall, reach);
		return isProbeDue;
	};

	const stepOther = (hall: string, event: HallReachEvent): void => {
		if (hall !== ownHall) {
			step(hall, event);
		}
	};

	const probeHall = async (hall: string): Promise<void> => {
		const picked = pickSome(byHall.get(hall) ?? [], probesAtOnce);
		const answers = await Promise.all(picked.map(async ({address}) => probe(address)));
		const isReached = picked.length === 0 || answers.includes(true) || isOverloaded();
		const wasLost = reachOf(hall).isLost;
		step(hall, {type: 'probe_ended', isReached});
		if (wasLost === isReached) {
			log(isReached ? 'hall_regained' : 'hall_lost', {hall, probes: picked.length});
		}

		if (!isReached) {
			attempts.abandon(hall);
		}
	};

	const timer = setInterval(() => {
		for (const hall of byHall.keys()) {
			if (hall !== ownHall && !isEvacuated(hall) && step(hall, {type: 'ticked', waitsSince: attempts.waitsSince(hall)})) {
				void probeHall(hall);
			}
		}
	}, tickMs);

	return {
		list(endpoints) {
			byHall = groupByHall(endpoints.filter(({isLeaving}) => !isLeaving));
		},
		isUnreachable: hall => reachOf(hall).isLost,
		noteAttempt: attempts.add,
		noteHeard(hall) {
			stepOther(hall, {type: 'heard'});
		},
		noteConnectFailure(hall) {
			stepOther(hall, {type: 'connect_failed'});
		},
		close() {
			clearInterval(timer);
		},
	};
};
