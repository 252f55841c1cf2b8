import {groupBy} from '@deckwheel/core';
import type {ListedPeer} from '../../../adapter/listed-peer.js';
import {smallHall} from '../../peers/small-hall.js';
import {createSampleOutbox} from '../member/create-sample-outbox.js';
import type {LoadAnswer} from '../member/load-answer.js';
import type {PaceSample} from '../wire/pace-sample.js';
import {pickLoadLeader} from './pick-load-leader.js';

type Options = {
	/** All listed hosts of other halls. */
	readonly hosts: () => readonly ListedPeer[];
	readonly isSilent: (address: string) => boolean;
	/** Sends the leader of another hall samples, and asks it for its totals; `undefined` when it did not answer. */
	readonly ask: (address: string, samples: readonly PaceSample[]) => Promise<LoadAnswer | undefined>;
	readonly onAnswer: (hall: string, answer: LoadAnswer) => void;
	/** Called with the address of a host that leads no hall, which another host seems to lead. */
	readonly onNoLeader: (address: string) => void;
};

/** What a load leader asks the leaders of other halls, and tells them. */
type HallPulls = {
	/** Asks the leader of each other hall that shares its load. A hall whose last answer is still awaited is not asked. */
	readonly pull: () => void;
	/** Keeps samples of this hall for the leaders of other halls. */
	readonly addSamples: (samples: readonly PaceSample[]) => void;
};

/** Creates the pulls of a host that has asked no hall yet. */
export const createHallPulls = ({hosts, isSilent, ask, onAnswer, onNoLeader}: Options): HallPulls => {
	const outboxes = new Map<string, ReturnType<typeof createSampleOutbox>>();
	const awaited = new Set<string>();

	const outboxOf = (hall: string) => {
		const outbox = outboxes.get(hall) ?? createSampleOutbox();
		outboxes.set(hall, outbox);
		return outbox;
	};

	const pullFrom = async (hall: string, address: string): Promise<void> => {
		const samples = outboxOf(hall).take();
		awaited.add(hall);
		const answer = await ask(address, samples);
		awaited.delete(hall);
		if (!answer) {
			outboxOf(hall).add(samples);
		} else if (!answer.leads) {
			onNoLeader(address);
		} else if (answer.hosts > 0) {
			onAnswer(hall, answer);
		}
	};

	return {
		pull() {
			for (const [hall, members] of groupBy(hosts(), host => host.hall)) {
				const leader = members.length > smallHall && !awaited.has(hall) ? pickLoadLeader(members, isSilent) : undefined;
				if (leader) {
					void pullFrom(hall, leader.address);
				}
			}
		},
		addSamples(samples) {
			for (const outbox of outboxes.values()) {
				outbox.add(samples);
			}
		},
	};
};
