import test from 'ava';
import {createChangeRegistry} from '../lib/store-changes/create-change-registry.js';
import {interpretChangeReply} from '../lib/store-changes/interpret-change-reply.js';

const createBoard = () => {
	const clock = {now: 1000};
	return {clock, board: createChangeRegistry(() => clock.now)};
};

test('a question is answered at once where there is news, and held where there is none', async t => {
	const {board} = createBoard();
	board.publish('config', {at: 10, changedAt: 8});
	board.noteStoreAnswer(1000);
	t.deepEqual(await board.answer('config', 5, 60_000), {at: 10, changedAt: 8, ageMs: 0});
	const held = board.answer('config', 10, 60_000);
	board.publish('config', {at: 15, changedAt: 15});
	t.deepEqual(await held, {at: 15, changedAt: 15, ageMs: 0});
});

test('a host that cannot follow a topic any more says so at once', async t => {
	const {board} = createBoard();
	board.publish('config', {at: 10, changedAt: 8});
	const held = board.answer('config', 10, 60_000);
	board.publish('config', undefined);
	t.deepEqual(interpretChangeReply(await held, 10, 1000), {type: 'unknown'});
});

test('a peer that the store has not answered lately vouches for nothing', async t => {
	const {board, clock} = createBoard();
	board.publish('config', {at: 10, changedAt: 8});
	board.noteStoreAnswer(1000);
	clock.now += 700;
	const reply = await board.answer('config', 10, 0);
	t.deepEqual(interpretChangeReply(reply, 10, 1000), {type: 'unchanged', at: 10});
	t.deepEqual(interpretChangeReply(reply, 10, 600), {type: 'unknown'});
});

test('a change that the asker has seen is no news, and the peer says up to which revision it knows', t => {
	t.deepEqual(interpretChangeReply({at: 9, changedAt: 8, ageMs: 0}, 12, 100), {type: 'unchanged', at: 9});
	t.deepEqual(interpretChangeReply({at: 20, changedAt: 13, ageMs: 9999}, 12, 100), {type: 'changed'});
});

test('hosts that are asked know it, for a while', async t => {
	const {board, clock} = createBoard();
	t.false(board.hasSubscribers());
	await board.answer('config', 0, 0);
	t.true(board.hasSubscribers());
	clock.now += 10_000;
	t.false(board.hasSubscribers());
});

// While a machine is suspended its timers stand still, so nothing has taken back what it told before.
test('a host that wakes from a suspension tells peers nothing that it knew before', async t => {
	const {board, clock} = createBoard();
	board.publish('config', {at: 10, changedAt: 8, validUntil: 2300});
	board.noteStoreAnswer(1000);
	t.deepEqual(interpretChangeReply(await board.answer('config', 10, 0), 10, 1000), {type: 'unchanged', at: 10});
	clock.now += 5000;
	board.noteStoreAnswer(clock.now);
	t.deepEqual(interpretChangeReply(await board.answer('config', 10, 0), 10, 1000), {type: 'unknown'});
});
