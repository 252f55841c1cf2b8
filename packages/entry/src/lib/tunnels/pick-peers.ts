import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {PeerRecord} from './peer-record.js';

type Inputs = {
	readonly peers: readonly ListedPeer[];
	/** The hall of this host. */
	readonly hall: string;
	/** What is remembered of a peer. */
	readonly recordOf: (peer: ListedPeer) => PeerRecord;
	readonly count: number;
	/** Returns a random number from 0 up to but not including 1. */
	readonly random: () => number;
	/** Monotonic ms. */
	readonly now: number;
};

/** How soon a peer is asked: proven ones first, doubted ones last, and of either those of the own hall first. */
const rankOf = ({provenUntil, doubtedUntil}: PeerRecord, isNear: boolean, now: number): number => {
	const farRank = isNear ? 0 : 1;
	if (provenUntil > now) {
		return farRank;
	}

	return doubtedUntil > now ? 4 + farRank : 2 + farRank;
};

/**
Chooses the peers to be asked for a tunnel, in order. Pure.

Of equal ones, those come first through which fewer tunnels are open, and then any, so that several hosts that are cut off at once do not choose
the same one.
*/
export const pickPeers = ({peers, hall, recordOf, count, random, now}: Inputs): readonly ListedPeer[] => peers
	.map(peer => ({peer, record: recordOf(peer), key: random()}))
	.filter(({record}) => record.barredUntil <= now)
	.map(({peer, record, key}) => ({
		peer, rank: rankOf(record, peer.hall === hall, now), served: record.served, key,
	}))
	.sort((a, b) => a.rank - b.rank || a.served - b.served || a.key - b.key)
	.slice(0, count)
	.map(({peer}) => peer);
