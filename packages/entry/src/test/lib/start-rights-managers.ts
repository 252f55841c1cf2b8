import {fail, succeed} from '@deckwheel/core';
import {defaultTimeouts} from '../../default-timeouts.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {RightsStore} from '../../adapter/rights-store.js';
import {createLoanClient} from '../../lib/lending/create-loan-client.js';
import {createRightsManager} from '../../lib/rights/create-rights-manager.js';
import {hostOfHolder} from '../../lib/rights-store/host-of-holder.js';
import type {LoanRequest} from '../../lib/lending/loan-request.js';
import type {RightsManager} from '../../lib/rights/rights-manager.js';
import {makeConfig} from './start-host.js';

type HostWithRights = {
	readonly peer: ListedPeer;
	readonly rights: RightsManager;
	/** The names of the events that the host logged. */
	readonly events: string[];
	/** Ends the host as a crash does: it returns no rights. */
	readonly kill: () => void;
	/** Faults that a test can switch on and off. */
	readonly setFaults: (faults: Faults) => void;
};

/** Whether a host and its peers are out of each other's reach, whether its replies are lost, and whether the store is down for it. */
type Faults = {readonly isUnreachable: boolean; readonly losesReplies: boolean; readonly isStoreDown: boolean};

type HandBack = {readonly type: 'hand_back'; readonly budget: string; readonly total: number};

/** How long a host that did not reply is left out, in ms. */
const suspicionMs = 3000;

const noFaults: Faults = {isUnreachable: false, losesReplies: false, isStoreDown: false};

/**
Starts the rights managers of the hosts of one data hall, linked without sockets. Peers reply at once; after they were killed, and by a fault,
they are unreachable.

@param count The number of hosts.
@param limit Prepaid tokens of the budget `org`.
@param now Monotonic ms.
*/
export const startRightsManagers = (count: number, store: RightsStore, limit: number, now = () => 0): readonly HostWithRights[] => {
	const peers: readonly ListedPeer[] = Array.from({length: count}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));
	const rightsManagers = new Map<string, RightsManager>();
	/** Until when hosts are suspected, by address. */
	const suspected = new Map<string, number>();
	const faults = new Map<string, Faults>();
	const faultsOf = ({holder}: ListedPeer): Faults => faults.get(holder) ?? noFaults;
	// A new list each time something changes, as the managers compare lists.
	let reachablePeers = new Map<ListedPeer, readonly ListedPeer[]>();
	const findReachablePeers = (): void => {
		const isReachable = (entry: ListedPeer, from: ListedPeer): boolean =>
			entry === from || (!suspected.has(entry.address) && !faultsOf(entry).isUnreachable && !faultsOf(from).isUnreachable);
		reachablePeers = new Map(peers.map(from => [from, peers.filter(entry => isReachable(entry, from))]));
	};

	findReachablePeers();

	const hallPeersOf = (from: ListedPeer): readonly ListedPeer[] => {
		const ended = [...suspected].filter(([, until]) => now() >= until);
		if (ended.length > 0) {
			for (const [address] of ended) {
				suspected.delete(address);
			}

			findReachablePeers();
		}

		return reachablePeers.get(from)!;
	};

	const startRightsManager = (peer: ListedPeer): HostWithRights => {
		const events: string[] = [];
		const storeOfHost: RightsStore = {
			read: async slot => faultsOf(peer).isStoreDown ? fail({type: 'unavailable'}) : store.read(slot),
			peek: async (slot, timeoutMs) => faultsOf(peer).isStoreDown ? undefined : store.peek(slot, timeoutMs),
			write: async (slot, rights, revision) => faultsOf(peer).isStoreDown ? fail({type: 'unavailable'}) : store.write(slot, rights, revision),
		};
		const loanClient = createLoanClient({
			mesh: () => ({
				port: 0,
				async request(address, body) {
					const lender = peers.find(entry => entry.address === address)!;
					const rightsManager = rightsManagers.get(lender.holder);
					if (!rightsManager || faultsOf(lender).isUnreachable || faultsOf(peer).isUnreachable) {
						return fail('unreachable');
					}

					const message = body as HandBack | (LoanRequest & {readonly type: 'lend'});
					if (message.type === 'hand_back') {
						rightsManager.takeBack(message.budget, peer.holder, message.total);
						return succeed({isTaken: true});
					}

					const reply = {lender: lender.holder, ...await rightsManager.lend(peer.holder, message)};
					return faultsOf(lender).losesReplies ? fail('unknown') : succeed(reply);
				},
				send: () => undefined,
				quietMs: () => undefined,
				close: async () => undefined,
			}),
			receivedFrom: (budget, from) => rights.receivedFrom(budget, from),
			onLoan(budget, from, total) {
				rights.receive(budget, from, total);
			},
			onSilence(address) {
				if (![peer, peers.find(entry => entry.address === address)!].some(entry => faultsOf(entry).isUnreachable)) {
					suspected.set(address, now() + suspicionMs);
				}

				findReachablePeers();
			},
			replyTimeoutMs: defaultTimeouts.peerMs,
			log: () => undefined,
			now,
		});
		const rights = createRightsManager({
			host: hostOfHolder(peer.holder),
			holder: peer.holder,
			store: storeOfHost,
			loanClient,
			links: () => ({
				hallPeers: () => hallPeersOf(peer), hallSize: () => count, isPeerListKnown: () => true, peerOf: holder => peers.find(entry => entry.holder === holder),
			}),
			timeouts: defaultTimeouts,
			log(event) {
				events.push(event);
			},
			now,
		});
		rights.configure(makeConfig({}, limit));
		rightsManagers.set(peer.holder, rights);
		return {
			peer,
			rights,
			events,
			kill() {
				rights.close();
				rightsManagers.delete(peer.holder);
			},
			setFaults(next) {
				faults.set(peer.holder, next);
				findReachablePeers();
			},
		};
	};

	return peers.map(peer => startRightsManager(peer));
};
