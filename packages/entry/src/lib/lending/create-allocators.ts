import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {PeerLinks} from '../peers/peer-links.js';
import type {Allocators} from './allocators.js';
import {rankAllocators} from './rank-allocators.js';

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize'>;
	readonly slotOf: (budget: string) => number;
};

type Ranking = {readonly peers: readonly ListedPeer[]; readonly bySlot: Map<number, readonly ListedPeer[]>};

/** Creates the view of who draws for this hall. Rankings are kept until the hall's peers change. */
export const createAllocators = ({holder, links, slotOf}: Options): Allocators => {
	let ranking: Ranking = {peers: [], bySlot: new Map()};

	const ofBudget = (budget: string): readonly ListedPeer[] => {
		const peers = links().hallPeers();
		if (peers !== ranking.peers) {
			ranking = {peers, bySlot: new Map()};
		}

		const slot = slotOf(budget);
		const allocators = ranking.bySlot.get(slot) ?? rankAllocators(slot, peers, links().hallSize());
		ranking.bySlot.set(slot, allocators);
		return allocators;
	};

	const isAmong = (allocators: readonly ListedPeer[], name: string): boolean => allocators.some(peer => peer.holder === name);

	return {
		isAllocator: budget => isAmong(ofBudget(budget), holder),
		drawsAhead(budget) {
			const allocators = ofBudget(budget);
			const isForItself = allocators.length === links().hallPeers().length;
			return allocators[0]?.holder === holder || (isForItself && isAmong(allocators, holder));
		},
		others: budget => ofBudget(budget).filter(peer => peer.holder !== holder),
		isClient(name, budget) {
			const allocators = ofBudget(budget);
			const isNear = isAmong(links().hallPeers(), name);
			return isNear && isAmong(allocators, holder) && !isAmong(allocators, name);
		},
	};
};
