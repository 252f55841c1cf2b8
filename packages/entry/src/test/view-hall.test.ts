import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createPeerList} from '../lib/peers/create-peer-list.js';
import {viewHall} from '../lib/peers/view-hall.js';

const peer = (name: string, hall = 'a'): ListedPeer => ({holder: `${name}#1`, address: `${name}:1`, hall});
const self = peer('self');

test('a suspected peer of the hall is not reachable, and still counts for the size of the hall', t => {
	const view = viewHall({
		self, listed: [self, peer('one'), peer('two'), peer('far', 'b')], suspectedUntil: new Map([['one:1', 500], ['two:1', 100]]), now: 200,
	});
	t.deepEqual(view, {peers: [self, peer('two')], size: 3, validUntil: 500});
});

test('a suspicion ends with time, and the view of the hall stays the same object until then', t => {
	let time = 0;
	const peers = createPeerList(self, () => time);
	peers.setListed([self, peer('one')]);
	peers.suspect('one:1');
	const before = peers.hallView();
	t.deepEqual(before.peers, [self]);
	t.is(peers.hallView(), before);
	time = before.validUntil;
	t.deepEqual(peers.hallView().peers, [self, peer('one')]);
});
