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
};

/**
Starts the rights managers of the hosts of one data hall, linked without sockets. Peers reply at once; after they were killed they are
unreachable.

@param count The number of hosts.
@param limit Prepaid tokens of the budget `org`.
@param now Monotonic ms.
*/
export const startRightsManagers = (count: number, store: RightsStore, limit: number, now = () => 0): readonly HostWithRights[] => {
	const peers: readonly ListedPeer[] = Array.from({length: count}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));
	const rightsManagers = new Map<string, RightsManager>();
	const suspected = new Set<string>();
	let reachablePeers = peers;

	const startRightsManager = (peer: ListedPeer): HostWithRights => {
		const events: string[] = [];
		const loanClient = createLoanClient({
			mesh: () => ({
				port: 0,
				async request(address, body) {
					const lender = peers.find(entry => entry.address === address)!;
					const rightsManager = rightsManagers.get(lender.holder);
					return rightsManager ? succeed({lender: lender.holder, ...await rightsManager.lend(peer.holder, body as LoanRequest)}) : fail('unreachable');
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
				suspected.add(address);
				reachablePeers = peers.filter(entry => !suspected.has(entry.address));
			},
			replyTimeoutMs: defaultTimeouts.peerMs,
			log: () => undefined,
			now,
		});
		const rights = createRightsManager({
			host: hostOfHolder(peer.holder),
			holder: peer.holder,
			store,
			loanClient,
			links: () => ({
				hallPeers: () => reachablePeers, hallSize: () => count, isPeerListKnown: () => true, peerOf: holder => peers.find(entry => entry.holder === holder),
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
		};
	};

	return peers.map(peer => startRightsManager(peer));
};
