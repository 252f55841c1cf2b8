import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {HostNames} from '../choice/host-names.js';
import type {HallView} from './hall-view.js';
import {viewHall} from './view-hall.js';

/**
For how long a peer that did not reply is left out of the reachable hosts, in ms. Short, so that a host that restarts gets requests
again soon.
*/
const suspicionMs = 3000;

/** The hosts that this host knows of, itself included. */
type PeerList = {
	/** Replaces the listed hosts by those that the directory lists. */
	readonly setListed: (peers: readonly ListedPeer[]) => void;
	/** Adds a host in place of an earlier incarnation at its address. Does nothing for a known holder and for this host's own address. */
	readonly add: (peer: ListedPeer) => void;
	/** Sets how peers reach this host. */
	readonly setSelf: (self: ListedPeer) => void;
	readonly self: () => ListedPeer;
	/** All listed hosts except this one and its earlier incarnations at its own address. */
	readonly others: () => readonly ListedPeer[];
	/** The listed host whose incarnation has this name as a holder of rights. */
	readonly findByHolder: (holder: string) => ListedPeer | undefined;
	/** Leaves the peer at this address out of the reachable hosts for `suspicionMs`. */
	readonly suspect: (address: string) => void;
	/** Ends the suspicion of the peer at this address. */
	readonly trust: (address: string) => void;
	/** The addresses of this host and of all listed hosts. The same value until a host is added, removed or changed. */
	readonly hostNames: () => HostNames;
	/** The hosts of this host's hall. The same value until the listed hosts or the suspicions change. */
	readonly hallView: () => HallView;
};

/**
Creates a peer list that holds this host only.

@param now Monotonic ms.
*/
export const createPeerList = (firstSelf: ListedPeer, now: () => number): PeerList => {
	const suspectedUntil = new Map<string, number>();
	let self = firstSelf;
	let listed: ReadonlyMap<string, ListedPeer> = new Map();
	let view: HallView | undefined;
	let names: HostNames | undefined;

	const invalidateViews = (): void => {
		view = undefined;
		names = undefined;
	};

	const removeExpiredSuspicions = (): void => {
		for (const [address, until] of suspectedUntil) {
			if (until <= now()) {
				suspectedUntil.delete(address);
			}
		}
	};

	return {
		setListed(peers) {
			listed = new Map(peers.map(peer => [peer.holder, peer]));
			invalidateViews();
		},
		add(peer) {
			if (listed.has(peer.holder) || peer.address === self.address) {
				return;
			}

			const others = [...listed.values()].filter(({address}) => address !== peer.address);
			listed = new Map([...others, peer].map(entry => [entry.holder, entry]));
			invalidateViews();
		},
		setSelf(newSelf) {
			self = newSelf;
			invalidateViews();
		},
		self: () => self,
		others: () => [...listed.values()].filter(({address}) => address !== self.address),
		findByHolder: holder => listed.get(holder),
		suspect(address) {
			suspectedUntil.set(address, now() + suspicionMs);
			view = undefined;
		},
		trust(address) {
			if (suspectedUntil.delete(address)) {
				view = undefined;
			}
		},
		hostNames() {
			names ??= {host: self.address, hosts: [...new Set([self, ...listed.values()].map(({address}) => address))]};
			return names;
		},
		hallView() {
			if (view === undefined || now() >= view.validUntil) {
				removeExpiredSuspicions();
				view = viewHall({
					self, listed: listed.values(), suspectedUntil, now: now(),
				});
			}

			return view;
		},
	};
};
