import type {Peer} from '../peer.js';

/** Peers of the own hall told in one round: with two, nearly all hosts of a hall of any size have heard after a few rounds. */
const nearPeers = 2;

/** Peers of other halls told in one round. */
const farPeers = 1;

const pickSome = (peers: readonly Peer[], count: number, random: () => number): readonly Peer[] => {
	const left = [...peers];
	const picked: Peer[] = [];
	while (picked.length < count && left.length > 0) {
		picked.push(...left.splice(Math.floor(random() * left.length), 1));
	}

	return picked;
};

/** Picks the peers for one round of gossip. `random` is from 0 up to 1. */
export const pickGossipPeers = (hall: string, peers: readonly Peer[], random: () => number): readonly Peer[] => [
	...pickSome(peers.filter(peer => peer.hall === hall), nearPeers, random),
	...pickSome(peers.filter(peer => peer.hall !== hall), farPeers, random),
];
