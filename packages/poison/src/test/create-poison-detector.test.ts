import test from 'ava';
import {createFleet} from './lib/create-fleet.js';

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
			member.island = 1;
		}

		for (let end = 0; end < 3; end++) {
			await fleet.lose(fleet.members[end * 3]!, 'r', `e${end}`);
		}

		t.is(fleet.knowing('r'), size - cut.length);
		for (const member of cut) {
			member.island = 0;
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
	late.life.watch.notePeerList();
	await fleet.settle();
	t.is(fleet.knowing('r'), 8);
});

test('a good end anywhere lets the request go everywhere', async t => {
	for (const size of [7, 60]) {
		const fleet = createFleet(size);
		for (let end = 0; end < 3; end++) {
			await fleet.lose(fleet.members[end]!, 'r', `e${end}`);
		}

		fleet.members[size - 1]!.life.watch.noteAnsweredRun(() => 'r');
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
	late.island = 1;
	late.life.watch.notePeerList();
	await fleet.settle();
	late.island = 0;
	await fleet.lose(late, 'other', 'e9');
	t.is(fleet.knowing('r'), 2);
	late.life.tick();
	await fleet.settle();
	t.is(fleet.knowing('r'), 3);
});
