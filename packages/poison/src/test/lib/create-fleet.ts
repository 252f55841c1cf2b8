import {createPoisonDetector} from '../../create-poison-detector.js';
import type {Peer} from '../../peer.js';
import type {PoisonDetector} from '../../poison-detector.js';
import type {RequestSubjects} from '../../request-subjects.js';

/** The time between two rounds of gossip, in ms, as in `createPoisonDetector`. */
const roundMs = 1000;

/** Creates a linear congruential generator: pseudo-random numbers from 0 to 1, the same in each run of the tests. */
const createRandom = (): (() => number) => {
	let state = 7;
	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % (2 ** 32);
		return state / (2 ** 32);
	};
};

/** A request whose prompt shares these parts with others, by default none. */
export const requestOf = (fingerprint: string, parts: readonly string[] = []): RequestSubjects => ({fingerprint: () => fingerprint, parts});

/** One process lifetime of a host. */
type Incarnation = {readonly detector: PoisonDetector; readonly tick: () => void};

type Member = {
	readonly peer: Peer;
	incarnation: Incarnation;
	/** The number of the network partition that the host is in: messages pass only between hosts of the same partition. */
	partition: number;
};

/** Creates simulated hosts in three halls. Messages between them arrive at once or not at all, and the clock of each host differs. */
export const createFleet = (size: number) => {
	const random = createRandom();
	const members: Member[] = [];
	let timeMs = 0;
	let requestCount = 0;

	const clockOf = (index: number): number => timeMs + (index * 100_000);

	const startIncarnation = (index: number, peer: Peer): Incarnation => {
		let tick = (): void => undefined;
		const detector = createPoisonDetector({
			self: () => peer,
			peers: () => members.filter(member => member.peer !== peer).map(member => member.peer),
			async sendRequest(to, message) {
				requestCount++;
				const target = members.find(member => member.peer.address === to.address)!;
				return members[index]!.partition === target.partition ? target.incarnation.detector.answer(peer.hall, message) : undefined;
			},
			crashDetector: {hasCrashed: async () => true},
			every(_pauseMs, callback) {
				tick = callback;
				return () => undefined;
			},
			random,
			log: () => undefined,
			now: () => clockOf(index),
		});
		return {
			detector,
			tick() {
				tick();
			},
		};
	};

	const addHost = (): Member => {
		const index = members.length;
		const peer = {address: `10.0.0.${index}:1`, hall: `hall-${index % 3}`};
		const member: Member = {peer, incarnation: startIncarnation(index, peer), partition: 0};
		members.push(member);
		return member;
	};

	for (let i = 0; i < size; i++) {
		addHost();
	}

	const settle = async (): Promise<void> => {
		for (let i = 0; i < 50; i++) {
			await Promise.resolve();
		}
	};

	const isBlockedAt = ({incarnation}: Member, request: string): boolean => incarnation.detector.blockedUntil(requestOf(request)) !== undefined;

	return {
		members,
		addHost,
		settle,
		isBlockedAt,
		/** The number of messages that all hosts have sent to peers. */
		sentRequestCount: () => requestCount,
		/** The time since the start of the test, in ms. */
		time: () => timeMs,
		/** Restarts a host: it has lost its suspicions and asks its peers for theirs. */
		async restart(member: Member) {
			member.incarnation = startIncarnation(members.indexOf(member), member.peer);
			member.incarnation.detector.notePeerList();
			await settle();
		},
		/** Has a host send the request to an endpoint that crashes 100 ms later. */
		async loseRun(member: Member, request: string, endpoint: string, parts: readonly string[] = []) {
			const sentAt = clockOf(members.indexOf(member));
			timeMs += 100;
			void member.incarnation.detector.noteLostRun({
				...requestOf(request, parts),
				id: 'id',
				endpoint: {id: endpoint, address: ''},
				sentAt,
			});
			await settle();
		},
		/** Advances the time, in ms. */
		pass(ms: number) {
			timeMs += ms;
		},
		/** Advances the time by one gossip interval and runs a round of gossip at each host. */
		async gossipRound() {
			timeMs += roundMs;
			for (const {incarnation} of members) {
				incarnation.tick();
			}

			await settle();
		},
		/** The number of hosts that block a request. */
		blockingHostCount: (request: string) => members.filter(member => isBlockedAt(member, request)).length,
	};
};
