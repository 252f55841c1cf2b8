import test from 'ava';
import {createPoisonDetector} from '../create-poison-detector.js';
import {createFleet, requestOf} from './lib/create-fleet.js';

test('crashes observed by three hosts in different halls block the request at all hosts at once', async t => {
	for (const size of [2, 7, 60]) {
		const fleet = createFleet(size);
		for (let end = 0; end < 3; end++) {
			t.is(fleet.blockingHostCount('r'), 0);
			await fleet.loseRun(fleet.members[(end * 11) % size]!, 'r', `e${end}`);
		}

		t.is(fleet.blockingHostCount('r'), size);
		t.is(fleet.blockingHostCount('other'), 0);
	}
});

test('a lost run is reported to two hosts of each hall at most, however many hosts there are', async t => {
	const fleet = createFleet(60);
	await fleet.loseRun(fleet.members[0]!, 'r', 'e0');
	t.true(fleet.sentRequestCount() <= 6, `${fleet.sentRequestCount()} messages: two hosts of each hall`);
});

test('a crash that several hosts observed counts once', async t => {
	const fleet = createFleet(7);
	for (const member of fleet.members) {
		await fleet.loseRun(member, 'r', 'e0');
	}

	t.is(fleet.blockingHostCount('r'), 0);
});

test('a hall that was cut off learns of a blocked request within three rounds of gossip after the partition heals', async t => {
	for (const size of [7, 60]) {
		const fleet = createFleet(size);
		const cut = fleet.members.filter(({peer}) => peer.hall === 'hall-2');
		for (const member of cut) {
			member.partition = 1;
		}

		for (let end = 0; end < 3; end++) {
			await fleet.loseRun(fleet.members[end * 3]!, 'r', `e${end}`);
		}

		t.is(fleet.blockingHostCount('r'), size - cut.length);
		for (const member of cut) {
			member.partition = 0;
		}

		for (let i = 0; i < 3; i++) {
			await fleet.gossipRound();
		}

		t.is(fleet.blockingHostCount('r'), size);
	}
});

test('a host that starts learns of a blocked request from its peers', async t => {
	const fleet = createFleet(7);
	for (let end = 0; end < 3; end++) {
		await fleet.loseRun(fleet.members[end]!, 'r', `e${end}`);
	}

	const late = fleet.addHost();
	late.incarnation.detector.notePeerList();
	await fleet.settle();
	t.is(fleet.blockingHostCount('r'), 8);
});

test('a run that got a response at one host unblocks the request at all hosts', async t => {
	for (const size of [7, 60]) {
		const fleet = createFleet(size);
		for (let end = 0; end < 3; end++) {
			await fleet.loseRun(fleet.members[end]!, 'r', `e${end}`);
		}

		fleet.members[size - 1]!.incarnation.detector.noteCompletedRun({fingerprint: () => 'r', parts: []}, true);
		await fleet.settle();
		await fleet.gossipRound();
		await fleet.gossipRound();
		t.is(fleet.blockingHostCount('r'), 0);
		await fleet.loseRun(fleet.members[0]!, 'r', 'e4');
		t.is(fleet.blockingHostCount('r'), 0, 'cleared crashes do not count again');
	}
});

test('hosts that block no request ask their peers once and then send no gossip', async t => {
	const fleet = createFleet(7);
	await fleet.gossipRound();
	const asked = fleet.sentRequestCount();
	await fleet.gossipRound();
	t.is(fleet.sentRequestCount(), asked);
	await fleet.loseRun(fleet.members[0]!, 'r', 'e0');
	const afterEnd = fleet.sentRequestCount();
	await fleet.gossipRound();
	t.is(fleet.sentRequestCount(), afterEnd);
});

test('a host asks for blocked requests until a peer has replied to that question, even after a reply to another message', async t => {
	const fleet = createFleet(2);
	for (let end = 0; end < 3; end++) {
		await fleet.loseRun(fleet.members[0]!, 'r', `e${end}`);
	}

	const late = fleet.addHost();
	late.partition = 1;
	late.incarnation.detector.notePeerList();
	await fleet.settle();
	late.partition = 0;
	await fleet.loseRun(late, 'other', 'e9');
	t.is(fleet.blockingHostCount('r'), 2);
	late.incarnation.tick();
	await fleet.settle();
	t.is(fleet.blockingHostCount('r'), 3);
});

test('different requests with one part in common crash endpoints at hosts of several halls, and another one with it is sent', async t => {
	const fleet = createFleet(7);
	for (const [index, endpoint] of ['e1', 'e2', 'e3'].entries()) {
		await fleet.loseRun(fleet.members[index]!, `r${index}`, endpoint, ['bad', `beside-${index}`]);
	}

	const blocks = (fingerprint: string, parts: readonly string[]): number =>
		fleet.members.filter(({incarnation}) => incarnation.detector.blockedUntil(requestOf(fingerprint, parts)) !== undefined).length;
	t.is(blocks('r4', ['bad']), 7);
	t.is(blocks('r4', ['beside-0', 'beside-1']), 0);
	t.is(blocks('r0', ['beside-0']), 0);
});

/** Creates seven hosts that block a request, after each of three of them lost a run of it. */
const createBlockingFleet = async () => {
	const fleet = createFleet(7);
	for (const [index, endpoint] of ['e1', 'e2', 'e3'].entries()) {
		await fleet.loseRun(fleet.members[index]!, 'r', endpoint);
	}

	return fleet;
};

test('after a block, all hosts send the request at once', async t => {
	const fleet = await createBlockingFleet();
	t.is(fleet.blockingHostCount('r'), 7);
	fleet.pass(121_000);
	const free = fleet.members.filter(member => !fleet.isBlockedAt(member, 'r'));
	t.is(free.length, 1);
	free[0]!.incarnation.detector.noteSent(requestOf('r'));
	t.is(fleet.blockingHostCount('r'), 7);
	free[0]!.incarnation.detector.noteCompletedRun(requestOf('r'), true);
	await fleet.settle();
	t.is(fleet.blockingHostCount('r'), 0);
});

test('after a block, a request that no host gets but one is never tested', async t => {
	const fleet = await createBlockingFleet();
	fleet.pass(121_000 + (7 * 2000));
	t.is(fleet.blockingHostCount('r'), 0);
});

test('a good end that comes after a crash, and before the host knows of the crash, does not count', async t => {
	let resolveVerdict: (hasCrashed: boolean) => void;
	const detector = createPoisonDetector({
		self: () => ({address: 'a:1', hall: 'a'}),
		peers: () => [],
		sendRequest: async () => undefined,
		crashDetector: {
			hasCrashed: async () => new Promise(resolve => {
				resolveVerdict = resolve;
			}),
		},
		every: () => () => undefined,
		random: () => 0,
		log: () => undefined,
		now: () => time,
	});
	let time = 10;
	const lost = detector.noteLostRun({
		...requestOf('r'), id: 'id', endpoint: {id: 'e', address: ''}, sentAt: 1,
	});
	time = 20;
	detector.noteCompletedRun(requestOf('r'), true);
	resolveVerdict!(true);
	await lost;
	t.false(detector.isSuspected(requestOf('r')));
});
