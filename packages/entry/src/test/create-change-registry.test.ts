import test from 'ava';
import {createChangeRegistry} from '../lib/store-changes/create-change-registry.js';
import {interpretChangeReply} from '../lib/store-changes/interpret-change-reply.js';

const createRegistry = () => {
	const clock = {now: 1000};
	return {clock, registry: createChangeRegistry(() => clock.now)};
};

test('a request gets its reply at once where the topic has changed, and else as soon as the topic changes', async t => {
	const {registry} = createRegistry();
	registry.publish('config', {at: 10, changedAt: 8});
	registry.noteStoreAnswer(1000);
	t.deepEqual(await registry.answer('config', 5, 60_000), {at: 10, changedAt: 8, ageMs: 0});
	const held = registry.answer('config', 10, 60_000);
	registry.publish('config', {at: 15, changedAt: 15});
	t.deepEqual(await held, {at: 15, changedAt: 15, ageMs: 0});
});

test('a held request gets its reply at once when the host can no longer follow the topic', async t => {
	const {registry} = createRegistry();
	registry.publish('config', {at: 10, changedAt: 8});
	const held = registry.answer('config', 10, 60_000);
	registry.publish('config', undefined);
	t.deepEqual(interpretChangeReply(await held, 10, 1000), {type: 'unknown'});
});

test('a topic does not count as unchanged on the reply of a peer that the store has not answered lately', async t => {
	const {registry, clock} = createRegistry();
	registry.publish('config', {at: 10, changedAt: 8});
	registry.noteStoreAnswer(1000);
	clock.now += 700;
	const reply = await registry.answer('config', 10, 0);
	t.deepEqual(interpretChangeReply(reply, 10, 1000), {type: 'unchanged', at: 10});
	t.deepEqual(interpretChangeReply(reply, 10, 600), {type: 'unknown'});
});

// Without it, a host that relies on a peer could not tell how outdated it may be.
test('a reply does not tell how long before the question, or after it, the store confirmed that nothing changed', async t => {
	const {registry, clock} = createRegistry();
	registry.publish('config', {at: 10, changedAt: 8, confirmedAt: 400});
	registry.noteStoreAnswer(1000);
	const reply = await registry.answer('config', 10, 0);
	t.deepEqual(reply, {
		at: 10, changedAt: 8, ageMs: 0, confirmedBeforeMs: 600,
	});
	t.deepEqual(interpretChangeReply(reply, 10, 1000), {type: 'unchanged', at: 10, confirmedBeforeMs: 600});

	const held = registry.answer('config', 10, 20);
	clock.now += 500;
	registry.publish('config', {at: 11, changedAt: 8, confirmedAt: 1300});
	registry.noteStoreAnswer(1300);
	const {confirmedBeforeMs} = await held;
	t.is(confirmedBeforeMs, -300);
});

test('only a change after the revision that the requesting host knows counts as new, however old the contact to the store', t => {
	t.deepEqual(interpretChangeReply({at: 9, changedAt: 8, ageMs: 0}, 12, 100), {type: 'unchanged', at: 9});
	t.deepEqual(interpretChangeReply({at: 20, changedAt: 13, ageMs: 9999}, 12, 100), {type: 'changed'});
});

test('a host has subscribers from the first request on, and none once requests have stopped', async t => {
	const {registry, clock} = createRegistry();
	t.false(registry.hasSubscribers());
	await registry.answer('config', 0, 0);
	t.true(registry.hasSubscribers());
	clock.now += 10_000;
	t.false(registry.hasSubscribers());
});

// Timers stand still while a machine is suspended, so no timer has withdrawn the state that the host published before the suspension.
test('a host that resumes after a suspension does not report state from before it as fresh', async t => {
	const {registry, clock} = createRegistry();
	registry.publish('config', {at: 10, changedAt: 8, validUntil: 2300});
	registry.noteStoreAnswer(1000);
	t.deepEqual(interpretChangeReply(await registry.answer('config', 10, 0), 10, 1000), {type: 'unchanged', at: 10});
	clock.now += 5000;
	registry.noteStoreAnswer(clock.now);
	t.deepEqual(interpretChangeReply(await registry.answer('config', 10, 0), 10, 1000), {type: 'unknown'});
});

// Without a valid publication, a host does not know whether its changes lead to the newest state.
test('changes count as the newest state although the host that sends them does not follow the topic, or no longer', t => {
	const {registry, clock} = createRegistry();
	t.deepEqual(registry.answerPatch('config', 5, undefined), {changedAt: 0});
	registry.offer('config', (after, base) => ({changedAt: 8, changes: {after, base}}));
	t.deepEqual(registry.answerPatch('config', 5, 'b'), {changedAt: 8, changes: {after: 5, base: 'b'}});
	registry.publish('config', {
		at: 10, changedAt: 8, confirmedAt: 400, validUntil: 2300,
	});
	t.is(registry.answerPatch('config', 5, undefined).confirmedBeforeMs, 600);
	clock.now += 5000;
	t.is(registry.answerPatch('config', 5, undefined).confirmedBeforeMs, undefined);
});
