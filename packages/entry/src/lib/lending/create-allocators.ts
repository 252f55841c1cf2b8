import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {PeerLinks} from '../peers/peer-links.js';
import type {Allocators} from './allocators.js';
import {rankAllocators} from './rank-allocators.js';

type Options = {
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize'>;
	readonly slotOf: (budget: string) => number;
};

type Ranking = {readonly peers: readonly ListedPeer[]; readonly bySlot: Map<number, readonly ListedPeer[]>};

/** Creates the view of the hosts that draw rights for this hall. Rankings are cached by slot until the list of the hall's peers changes. */
export const createAllocators = ({holder, links, slotOf}: Options): Allocators => {
	let ranking: Ranking = {peers: [], bySlot: new Map()};

	const allocatorsOf = (budget: string): readonly ListedPeer[] => {
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
		isAllocator: budget => isAmong(allocatorsOf(budget), holder),
		drawsAhead(budget) {
			const allocators = allocatorsOf(budget);
			const isEveryHostAllocator = allocators.length === links().hallPeers().length;
			return allocators[0]?.holder === holder || (isEveryHostAllocator && isAmong(allocators, holder));
		},
		hasClients(budget) {
			const allocators = allocatorsOf(budget);
			return isAmong(allocators, holder) && allocators.length < links().hallPeers().length;
		},
		others: budget => allocatorsOf(budget).filter(peer => peer.holder !== holder),
		isClient(name, budget) {
			const allocators = allocatorsOf(budget);
			const isInHall = isAmong(links().hallPeers(), name);
			return isInHall && isAmong(allocators, holder) && !isAmong(allocators, name);
		},
	};
};
