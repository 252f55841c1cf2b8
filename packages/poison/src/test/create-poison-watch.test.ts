import test from 'ava';
import type {Peer} from '../peer.js';
import {createPoisonWatch} from '../create-poison-watch.js';
import type {PoisonWatch} from '../poison-watch.js';

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

type Member = {
	readonly peer: Peer;
	readonly watch: PoisonWatch;
	readonly tick: () => void;
	/** Whether messages reach it and leave it. */
	isCut: boolean;
};

/** Hosts in three halls whose messages arrive at once, or not at all; each one's clock shows another time. */
const createFleet = (size: number) => {
	const random = createRandom();
	const members: Member[] = [];
	let time = 0;
	let asked = 0;

	const add = (): Member => {
		const index = members.length;
		const peer = {address: `10.0.0.${index}:1`, hall: `hall-${index % 3}`};
		const now = (): number => time + (index * 100_000);
		let tick = (): void => undefined;
		const watch = createPoisonWatch({
			self: () => peer,
			peers: () => members.filter(member => member.peer !== peer).map(member => member.peer),
			async ask(to, question) {
				asked++;
				const target = members.find(member => member.peer.address === to.address)!;
				return member.isCut || target.isCut ? undefined : target.watch.answer(peer.hall, question);
			},
			ends: {hasEnded: async () => true},
			every(_pauseMs, callback) {
				tick = callback;
				return () => undefined;
			},
			random,
			log: () => undefined,
			now,
		});
		const member: Member = {
			peer,
			watch,
			tick() {
				tick();
			},
			isCut: false,
		};
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

	return {
		members,
		add,
		settle,
		asked: () => asked,
		/** The request is sent by a host, and its endpoint ends 100 ms later. */
		async lose(member: Member, request: string, endpoint: string) {
			const sentAt = time + (members.indexOf(member) * 100_000);
			time += 100;
			member.watch.runLost({
				id: 'id',
				fingerprint: () => request,
				endpoint: {id: endpoint, address: ''},
				sentAt,
			});
			await settle();
		},
		async round() {
			time += roundMs;
			for (const {tick} of members) {
				tick();
			}

			await settle();
		},
		knowing: (request: string) => members.filter(({watch}) => watch.blockedUntil(() => request) !== undefined).length,
	};
};

test('ends at three hosts of different halls block the request at all hosts at once', async t => {
	for (const size of [2, 7, 60]) {
		const fleet = createFleet(size);
		for (let end = 0; end < 3; end++) {
			t.is(fleet.knowing('r'), 0);
			await fleet.lose(fleet.members[(end * 11) % size]!, 'r', `e${end}`);
		}

		t.is(fleet.knowing('r'), size);
		t.is(fleet.knowing('other'), 0);
	}
});

test('a lost run is told to few hosts, however many there are', async t => {
	const fleet = createFleet(60);
	await fleet.lose(fleet.members[0]!, 'r', 'e0');
	t.true(fleet.asked() <= 6, `${fleet.asked()} questions: two hosts of each hall`);
});

test('an end that several hosts saw counts once', async t => {
	const fleet = createFleet(7);
	for (const member of fleet.members) {
		await fleet.lose(member, 'r', 'e0');
	}

	t.is(fleet.knowing('r'), 0);
});

test('a hall that was cut off hears within three rounds after the cut', async t => {
	for (const size of [7, 60]) {
		const fleet = createFleet(size);
		const cut = fleet.members.filter(({peer}) => peer.hall === 'hall-2');
		for (const member of cut) {
			member.isCut = true;
		}

		for (let end = 0; end < 3; end++) {
			await fleet.lose(fleet.members[end * 3]!, 'r', `e${end}`);
		}

		t.is(fleet.knowing('r'), size - cut.length);
		for (const member of cut) {
			member.isCut = false;
		}

		for (let i = 0; i < 3; i++) {
			await fleet.round();
		}

		t.is(fleet.knowing('r'), size);
	}
});

test('a host that starts asks its peers', async t => {
	const fleet = createFleet(7);
	for (let end = 0; end < 3; end++) {
		await fleet.lose(fleet.members[end]!, 'r', `e${end}`);
	}

	const late = fleet.add();
	late.watch.peersListed();
	await fleet.settle();
	t.is(fleet.knowing('r'), 8);
});

test('a good end anywhere lets the request go everywhere', async t => {
	for (const size of [7, 60]) {
		const fleet = createFleet(size);
		for (let end = 0; end < 3; end++) {
			await fleet.lose(fleet.members[end]!, 'r', `e${end}`);
		}

		fleet.members[size - 1]!.watch.runAnswered(() => 'r');
		await fleet.settle();
		await fleet.round();
		await fleet.round();
		t.is(fleet.knowing('r'), 0);
		await fleet.lose(fleet.members[0]!, 'r', 'e4');
		t.is(fleet.knowing('r'), 0, 'what was cleared is not held against it again');
	}
});

test('hosts that have nothing to tell ask once and are quiet then', async t => {
	const fleet = createFleet(7);
	await fleet.round();
	const asked = fleet.asked();
	await fleet.round();
	t.is(fleet.asked(), asked);
	await fleet.lose(fleet.members[0]!, 'r', 'e0');
	const afterEnd = fleet.asked();
	await fleet.round();
	t.is(fleet.asked(), afterEnd);
});

test('a host goes on asking for what is blocked until a peer has answered that, though one has answered something else', async t => {
	const fleet = createFleet(2);
	for (let end = 0; end < 3; end++) {
		await fleet.lose(fleet.members[0]!, 'r', `e${end}`);
	}

	const late = fleet.add();
	late.isCut = true;
	late.watch.peersListed();
	await fleet.settle();
	late.isCut = false;
	await fleet.lose(late, 'other', 'e9');
	t.is(fleet.knowing('r'), 2);
	late.tick();
	await fleet.settle();
	t.is(fleet.knowing('r'), 3);
});
