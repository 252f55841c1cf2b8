import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {HostNames} from '../choice/host-names.js';
import type {HallView} from './hall-view.js';
import {viewHall} from './view-hall.js';

/**
How long a peer that did not answer is not counted on, in ms. Short, so that a host that
restarts is asked again soon.
*/
const suspicionMs = 3000;

/** The hosts that a host knows of. */
type PeerList = {
	/** Takes in what the directory lists. */
	readonly setListed: (peers: readonly ListedPeer[]) => void;
	/** Takes in one more host, in the place of an earlier life at its address. */
	readonly add: (peer: ListedPeer) => void;
	/** Takes in this host as peers find it. */
	readonly setSelf: (self: ListedPeer) => void;
	readonly self: () => ListedPeer;
	/** All that are listed but for this host, and for its earlier lives at its own address. */
	readonly others: () => readonly ListedPeer[];
	readonly ofHolder: (holder: string) => ListedPeer | undefined;
	readonly suspect: (address: string) => void;
	/** Counts on a peer again at once. */
	readonly trust: (address: string) => void;
	/** This host and all that are listed, by address. The same value until something changes. */
	readonly names: () => HostNames;
	/** The own hall as it is now. The same arrays until something changes. */
	readonly hall: () => HallView;
};

/**
Creates a list that holds this host only.

@param now Monotonic ms.
*/
export const createPeerList = (firstSelf: ListedPeer, now: () => number): PeerList => {
	const suspectedUntil = new Map<string, number>();
	let self = firstSelf;
	let listed: ReadonlyMap<string, ListedPeer> = new Map();
	let view: HallView | undefined;
	let names: HostNames | undefined;

	const change = (): void => {
		view = undefined;
		names = undefined;
	};

	const forgetEnded = (): void => {
		for (const [address, until] of suspectedUntil) {
			if (until <= now()) {
				suspectedUntil.delete(address);
			}
		}
	};

	return {
		setListed(peers) {
			listed = new Map(peers.map(peer => [peer.holder, peer]));
			change();
		},
		add(peer) {
			if (listed.has(peer.holder) || peer.address === self.address) {
				return;
			}

			const others = [...listed.values()].filter(({address}) => address !== peer.address);
			listed = new Map([...others, peer].map(entry => [entry.holder, entry]));
			change();
		},
		setSelf(next) {
			self = next;
			change();
		},
		self: () => self,
		others: () => [...listed.values()].filter(({address}) => address !== self.address),
		ofHolder: holder => listed.get(holder),
		suspect(address) {
			suspectedUntil.set(address, now() + suspicionMs);
			view = undefined;
		},
		trust(address) {
			if (suspectedUntil.delete(address)) {
				view = undefined;
			}
		},
		names() {
			names ??= {host: self.address, hosts: [...new Set([self, ...listed.values()].map(({address}) => address))]};
			return names;
		},
		hall() {
			if (view === undefined || now() >= view.validUntil) {
				forgetEnded();
				view = viewHall({
					self, listed: listed.values(), suspectedUntil, now: now(),
				});
			}

			return view;
		},
	};
};
