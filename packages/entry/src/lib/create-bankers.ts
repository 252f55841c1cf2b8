import type {ListedPeer} from '../listed-peer.js';
import type {Bankers} from './bankers.js';
import type {PeerLinks} from './peer-links.js';
import {rankBankers} from './rank-bankers.js';

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize'>;
	readonly slotOf: (budget: string) => number;
};

type Ranking = {readonly peers: readonly ListedPeer[]; readonly bySlot: Map<number, readonly ListedPeer[]>};

/** Creates the view of who draws for this hall. Rankings are kept until the hall's peers change. */
export const createBankers = ({holder, links, slotOf}: Options): Bankers => {
	let ranking: Ranking = {peers: [], bySlot: new Map()};

	const ofBudget = (budget: string): readonly ListedPeer[] => {
		const peers = links().hallPeers();
		if (peers !== ranking.peers) {
			ranking = {peers, bySlot: new Map()};
		}

		const slot = slotOf(budget);
		const bankers = ranking.bySlot.get(slot) ?? rankBankers(slot, peers, links().hallSize());
		ranking.bySlot.set(slot, bankers);
		return bankers;
	};

	const isAmong = (bankers: readonly ListedPeer[], name: string): boolean => bankers.some(peer => peer.holder === name);

	return {
		isBanker: budget => isAmong(ofBudget(budget), holder),
		drawsAhead(budget) {
			const bankers = ofBudget(budget);
			const isForItself = bankers.length === links().hallPeers().length;
			return bankers[0]?.holder === holder || (isForItself && isAmong(bankers, holder));
		},
		others: budget => ofBudget(budget).filter(peer => peer.holder !== holder),
		isClient(name, budget) {
			const bankers = ofBudget(budget);
			const isNear = isAmong(links().hallPeers(), name);
			return isNear && isAmong(bankers, holder) && !isAmong(bankers, name);
		},
	};
};
