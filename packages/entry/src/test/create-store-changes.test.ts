import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createChangeRegistry} from '../lib/store-changes/create-change-registry.js';
import {createStoreChanges} from '../lib/store-changes/create-store-changes.js';

const hall: readonly ListedPeer[] = Array.from({length: 6}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));

const createChanges = (holder: string, reply: Result<unknown, LinkError>) => {
	const suspected: string[] = [];
	const requested: string[] = [];
	const changes = createStoreChanges({
		holder,
		registry: createChangeRegistry(() => 0),
		random: () => 0,
		log: () => undefined,
		links: () => ({
			mesh: () => ({
				port: 0,
				async request(address: string) {
					requested.push(address);
					return reply;
				},
				send: () => undefined, quietMs: () => undefined,
				close: async () => undefined,
			}),
			hallPeers: () => hall,
			others: () => hall.filter(peer => peer.holder !== holder),
			hallSize: () => hall.length,
			suspect(address: string) {
				suspected.push(address);
			},
		}),
	});
	return {changes, suspected, requested};
};

const isFollowing = ({holder}: ListedPeer): boolean => createChanges(holder, fail('unknown')).changes.isFollower('config');
const follower = hall.find(peer => isFollowing(peer))!;
const requester = hall.find(peer => !isFollowing(peer))!;

test('exactly one host of a large hall follows a topic', t => {
	t.is(hall.filter(peer => isFollowing(peer)).length, 1);
});

test('the reply of a peer that the store answered a moment ago shows that a topic is unchanged', async t => {
	const {changes, requested} = createChanges(requester.holder, succeed({at: 9, changedAt: 4, ageMs: 100}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unchanged', at: 9});
	t.deepEqual(requested, [follower.address]);
});

test('the reply of a peer that the store has not answered lately leaves the topic unknown, and the peer unsuspected', async t => {
	const {changes, suspected} = createChanges(requester.holder, succeed({at: 9, changedAt: 4, ageMs: 400}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.is(suspected.length, 0);
});

test('a missing or malformed reply leaves the topic unknown, and a missing one makes the peer suspected', async t => {
	const silent = createChanges(requester.holder, fail('unknown'));
	t.deepEqual(await silent.changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.deepEqual(silent.suspected, [follower.address]);
	const malformed = createChanges(requester.holder, succeed({at: 'now'}));
	t.deepEqual(await malformed.changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
});

test('the host that follows a topic asks no peer', async t => {
	const {changes, requested} = createChanges(follower.holder, succeed({at: 9, changedAt: 4, ageMs: 0}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.is(requested.length, 0);
});

test('changes are requested from another host than the one that follows the topic, or by the follower from itself', async t => {
	const {changes, requested} = createChanges(requester.holder, succeed({changedAt: 9, changes: 'c', confirmedBeforeMs: 20}));
	t.deepEqual(await changes.requestPatch('follower', 'config', 5, {timeoutMs: 300}), {changedAt: 9, changes: 'c', confirmedBeforeMs: 20});
	t.deepEqual(requested, [follower.address]);
	const own = createChanges(follower.holder, succeed({changedAt: 9}));
	t.is(await own.changes.requestPatch('follower', 'config', 5, {timeoutMs: 300}), undefined);
	t.deepEqual(await own.changes.requestPatch('any', 'config', 5, {timeoutMs: 300}), {changedAt: 9});
	t.is(own.requested.length, 1);
	t.not(own.requested[0], follower.address);
});

test('a peer of an earlier release, or one that does not reply, counts as one that knows of no change', async t => {
	const replies: ReadonlyArray<Result<unknown, LinkError>> = [succeed(undefined), fail('unknown'), succeed({changedAt: 'now'})];
	for (const reply of replies) {
		const {changes, suspected} = createChanges(requester.holder, reply);
		t.is(await changes.requestPatch('follower', 'config', 5, {timeoutMs: 300}), undefined);
		t.is(suspected.length, 0);
	}
});
