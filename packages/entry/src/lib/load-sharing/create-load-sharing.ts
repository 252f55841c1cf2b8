import {hash32, succeed} from '@deckwheel/core';
import type {EventCounter} from '@deckwheel/host-kit';
import type {Mesh} from '@deckwheel/mesh';
import type {Log} from '../../adapter/log.js';
import {createSparseLog} from '../peers/create-sparse-log.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {createEndedEndpoints} from './create-ended-endpoints.js';
import {createHallPulls} from './leader/create-hall-pulls.js';
import {createLeaderFinder} from './leader/create-leader-finder.js';
import {createLoadLeader} from './leader/create-load-leader.js';
import type {LoadSharing} from './load-sharing.js';
import {createLoadClient} from './member/create-load-client.js';
import {createLoadMember} from './member/create-load-member.js';
import {createLoadTracker} from './member/create-load-tracker.js';
import {startExchanges} from './start-exchanges.js';
import {ticksBetweenExchanges} from './ticks-between-exchanges.js';
import {indexEndpoints} from './wire/index-endpoints.js';

/** The time between two messages of a host to its load leader in halls of up to 30 hosts, in ms: short beside the time for which most requests are open. */
const tickMs = 300;

/**
The time between two questions of a load leader to that of another hall, in ms, in halls of up to 30 hosts. It is shorter than `tickMs` because
what other halls have open passes two leaders, and costs little because only leaders ask.
*/
const hallPullMs = 150;

/** After how many intervals without totals a host counts its own requests only. Before that, a silent leader is replaced. */
const totalsIntervals = 5;

type Options = {
	readonly links: () => Pick<PeerLinks, 'self' | 'others' | 'hallPeers' | 'hallSize'>;
	readonly request: Mesh['request'];
	/** Calls a function at regular intervals, in ms; returns the function that ends the calls. */
	readonly every: (intervalMs: number, callback: () => void) => () => void;
	/** Called with the id of a listed endpoint that another host found ended, once for each. */
	readonly onEnded: (endpoint: string) => void;
	readonly counter: EventCounter;
	readonly log: Log;
	/** Elapsed ms, suspensions of the machine included. */
	readonly now: () => number;
};

/**
Creates the task that shares the load of endpoints between hosts.

In each hall with more than `smallHall` hosts one host is the load leader. Every host reports to it at regular intervals all that it has
open, and the reply holds the totals of the fleet. The leader asks the leaders of the other halls for theirs. A host that gets no totals
counts its own requests only. The store takes no part.
*/
export const createLoadSharing = ({links, request, every, onEnded, counter, log, now}: Options): LoadSharing => {
	const finder = createLeaderFinder({links, log, now});
	let index = indexEndpoints([]);
	let isClosed = false;

	const isSelf = (address: string | undefined): boolean => address === links().self().address;
	const intervalTicks = (): number => ticksBetweenExchanges(links().hallSize(), tickMs);
	const intervalMs = (): number => intervalTicks() * tickMs;

	const onLeftOut = (entries: number): void => {
		if (entries > 0) {
			counter.increment('left_out', entries);
		}
	};

	const ended = createEndedEndpoints({
		onTold(hash) {
			const endpoint = index.idOf.get(hash);
			if (endpoint !== undefined) {
				onEnded(endpoint);
			}
		},
		onLeftOut,
		now,
	});

	const leader = createLoadLeader({
		hall: () => links().self().hall,
		index: () => index,
		leads: () => isSelf(finder.find()),
		intervalMs,
		onSamples(samples) {
			halls.addSamples(samples);
		},
		exchangeEnded(told) {
			ended.merge(told);
			return ended.toTell();
		},
		onLeftOut,
		now,
	});

	const ask = createLoadClient({
		async request(address, message, timeoutMs) {
			const {holder, hall} = links().self();
			return isSelf(address) ? succeed(leader.answer({incarnation: holder, hall}, message)) : request(address, message, timeoutMs);
		},
		index: () => index,
		fleetSize: () => links().others().length + 1,
		// An answer that comes after the next message is due is of no use.
		timeoutMs: intervalMs,
		endedToTell: ended.toTell,
		onEndedTold: ended.merge,
		onSilence: finder.noteSilence,
		onLeftOut,
		count: counter.increment,
		log: createSparseLog(log, now),
		now,
	});

	const tracker = createLoadTracker({
		onSample(sample) {
			member.addSample(sample);
		},
		now,
	});

	const member = createLoadMember({
		ask,
		tracker,
		index: () => index,
		hallSize: () => links().hallPeers().length,
		onTotals(ageMs) {
			counter.recordMax('oldest_ms', Math.round(ageMs));
		},
		onThinTotals() {
			counter.increment('thin');
		},
		now,
	});

	const halls = createHallPulls({
		hosts: () => links().others().filter(({hall}) => hall !== links().self().hall),
		isSilent: finder.isSilent,
		ask: async (address, samples) => ask(address, {
			wants: 'hall', wantsPaces: false, rows: [], samples,
		}),
		onAnswer(hall, {rows, asOf}) {
			leader.setHall(hall, rows, asOf);
		},
		onNoLeader: finder.noteSilence,
	});

	/** Reports to the leader or, if it does not answer, to the next one. */
	const report = async (): Promise<void> => {
		const address = finder.update();
		if (address === undefined || await member.reportTo(address) || isClosed) {
			return;
		}

		const next = finder.update();
		if (next !== undefined && next !== address) {
			await member.reportTo(next);
		}
	};

	const stops = [
		startExchanges({
			every,
			tickMs,
			ticksApart: intervalTicks,
			onTick() {
				leader.expire();
				member.expire(totalsIntervals * intervalMs());
			},
			exchange: report,
		}),
		startExchanges({
			every,
			tickMs: hallPullMs,
			ticksApart: intervalTicks,
			async exchange() {
				if (isSelf(finder.lastFound())) {
					halls.pull();
				}
			},
		}),
	];

	return {
		loads: tracker,
		list(endpoints) {
			index = indexEndpoints(endpoints);
			leader.list(index);
			member.list();
		},
		noteEnded(endpoint) {
			ended.note(hash32(endpoint));
		},
		answerLoad(from, message) {
			counter.increment('led');
			return leader.answer(from, message);
		},
		close() {
			isClosed = true;
			for (const stop of stops) {
				stop();
			}
		},
	};
};
