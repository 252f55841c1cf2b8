import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createPeerList} from '../lib/peers/create-peer-list.js';
import {viewHall} from '../lib/peers/view-hall.js';

const peer = (name: string, hall = 'a'): ListedPeer => ({holder: `${name}#1`, address: `${name}:1`, hall});
const self = peer('self');

test('peers of the own hall are counted on but for those that were silent, and a large hall stays one', t => {
	const view = viewHall({
		self, listed: [self, peer('one'), peer('two'), peer('far', 'b')], suspectedUntil: new Map([['one:1', 500], ['two:1', 100]]), now: 200,
	});
	t.deepEqual(view, {peers: [self, peer('two')], size: 3, validUntil: 500});
});

test('a suspicion ends with time, and the view stays the same object until then', t => {
	let time = 0;
	const peers = createPeerList(self, () => time);
	peers.setListed([self, peer('one')]);
	peers.suspect('one:1');
	const before = peers.hall();
	t.deepEqual(before.peers, [self]);
	t.is(peers.hall(), before);
	time = before.validUntil;
	t.deepEqual(peers.hall().peers, [self, peer('one')]);
});
