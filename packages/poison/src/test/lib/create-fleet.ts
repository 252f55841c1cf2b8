import {createPoisonDetector} from '../../create-poison-detector.js';
import type {Peer} from '../../peer.js';
import type {PoisonDetector} from '../../poison-detector.js';

/** Between two rounds of gossip, in ms, as the watch has it. */
const roundMs = 1000;

/** Numbers from 0 up to 1 that look random, the same in each run (a linear congruential generator). */
const createRandom = (): (() => number) => {
	let state = 7;
	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % (2 ** 32);
		return state / (2 ** 32);
	};
};

/** One life of a host. */
type Life = {readonly watch: PoisonDetector; readonly tick: () => void};

type Member = {
	readonly peer: Peer;
	life: Life;
	/** Messages pass between hosts of one island. */
	island: number;
};

/** Hosts in three halls whose messages arrive at once, or not at all; each one's clock shows another time. */
export const createFleet = (size: number) => {
	const random = createRandom();
	const members: Member[] = [];
	let time = 0;
	let asked = 0;

	const clockOf = (index: number): number => time + (index * 100_000);

	const startLife = (index: number, peer: Peer): Life => {
		let tick = (): void => undefined;
		const watch = createPoisonDetector({
			self: () => peer,
			peers: () => members.filter(member => member.peer !== peer).map(member => member.peer),
			async ask(to, question) {
				asked++;
				const target = members.find(member => member.peer.address === to.address)!;
				return members[index]!.island === target.island ? target.life.watch.answer(peer.hall, question) : undefined;
			},
			ends: {hasEnded: async () => true},
			every(_pauseMs, callback) {
				tick = callback;
				return () => undefined;
			},
			random,
			log: () => undefined,
			now: () => clockOf(index),
		});
		return {
			watch,
			tick() {
				tick();
			},
		};
	};

	const add = (): Member => {
		const index = members.length;
		const peer = {address: `10.0.0.${index}:1`, hall: `hall-${index % 3}`};
		const member: Member = {peer, life: startLife(index, peer), island: 0};
		members.push(member);
		return member;
	};

	for (let i = 0; i < size; i++) {
		add();
	}

	const settle = async (): Promise<void> => {
		for (let i = 0; i < 50; i++) {
			await Promise.resolve();
		}
	};

	const isBlockedAt = ({life}: Member, request: string): boolean => life.watch.blockedUntil(() => request) !== undefined;

	return {
		members,
		add,
		settle,
		isBlockedAt,
		asked: () => asked,
		/** Ms since the start of the test. */
		time: () => time,
		/** The host starts again and knows nothing; it asks its peers. */
		async restart(member: Member) {
			member.life = startLife(members.indexOf(member), member.peer);
			member.life.watch.notePeerList();
			await settle();
		},
		/** The request is sent by a host, and its endpoint ends 100 ms later. */
		async lose(member: Member, request: string, endpoint: string) {
			const sentAt = clockOf(members.indexOf(member));
			time += 100;
			member.life.watch.noteLostRun({
				id: 'id',
				fingerprint: () => request,
				endpoint: {id: endpoint, address: ''},
				sentAt,
			});
			await settle();
		},
		async round() {
			time += roundMs;
			for (const {life} of members) {
				life.tick();
			}

			await settle();
		},
		knowing: (request: string) => members.filter(member => isBlockedAt(member, request)).length,
	};
};
