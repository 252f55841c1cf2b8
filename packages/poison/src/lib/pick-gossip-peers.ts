import {sampleOf} from '@deckwheel/core';
import type {Peer} from '../peer.js';

/** Peers of this host's hall that one round reaches. With two, nearly all hosts of a hall of any size are reached within a few rounds. */
const ownHallPeers = 2;

/** Peers of other halls that one round reaches. */
const otherHallPeers = 1;

/** Picks the peers for one round of gossip of a host in `hall`. `random` returns a number from 0 (inclusive) to 1 (exclusive). */
export const pickGossipPeers = (hall: string, peers: readonly Peer[], random: () => number): readonly Peer[] => [
	...sampleOf(peers.filter(peer => peer.hall === hall), ownHallPeers, random),
	...sampleOf(peers.filter(peer => peer.hall !== hall), otherHallPeers, random),
];
