import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createChangeRegistry} from '../lib/store-changes/create-change-registry.js';
import {createStoreChanges} from '../lib/store-changes/create-store-changes.js';

const hall: readonly ListedPeer[] = Array.from({length: 6}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));

const changesOf = (holder: string, reply: Result<unknown, LinkError>) => {
	const suspected: string[] = [];
	const asked: string[] = [];
	const changes = createStoreChanges({
		holder,
		board: createChangeRegistry(() => 0),
		log: () => undefined,
		links: () => ({
			mesh: () => ({
				port: 0,
				async request(address: string) {
					asked.push(address);
					return reply;
				},
				send: () => undefined, quietMs: () => undefined,
				close: async () => undefined,
			}),
			hallPeers: () => hall,
			hallSize: () => hall.length,
			suspect(address: string) {
				suspected.push(address);
			},
		}),
	});
	return {changes, suspected, asked};
};

const isFollowing = ({holder}: ListedPeer): boolean => changesOf(holder, fail('unknown')).changes.isFollower('config');
const follower = hall.find(peer => isFollowing(peer))!;
const asker = hall.find(peer => !isFollowing(peer))!;

test('all hosts of a hall agree on who follows a topic', t => {
	t.is(hall.filter(peer => isFollowing(peer)).length, 1);
});

test('a peer that the store answered a moment ago vouches for quiet', async t => {
	const {changes, asked} = changesOf(asker.holder, succeed({at: 9, changedAt: 4, ageMs: 100}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unchanged', at: 9});
	t.deepEqual(asked, [follower.address]);
});

test('a peer whose touch with the store is old vouches for nothing', async t => {
	const {changes, suspected} = changesOf(asker.holder, succeed({at: 9, changedAt: 4, ageMs: 400}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.is(suspected.length, 0);
});

test('a peer that does not answer, or not as it should, vouches for nothing', async t => {
	const silent = changesOf(asker.holder, fail('unknown'));
	t.deepEqual(await silent.changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.deepEqual(silent.suspected, [follower.address]);
	const strange = changesOf(asker.holder, succeed({at: 'now'}));
	t.deepEqual(await strange.changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
});

test('who follows a topic asks nobody', async t => {
	const {changes, asked} = changesOf(follower.holder, succeed({at: 9, changedAt: 4, ageMs: 0}));
	t.deepEqual(await changes.waitForChange('config', 5, 0, 300), {type: 'unknown'});
	t.is(asked.length, 0);
});
