import {rankByRendezvous} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';

/** The least time between two broadcasts about one endpoint, in ms: an endpoint that names another limit in each response must not flood the hosts with messages. */
const minBroadcastIntervalMs = 1000;

/** The most endpoints whose last broadcast is remembered: a bound on memory. */
const maxEndpoints = 5000;

/** The number of peers that a host asks for all their limits when it starts. */
const initialPeerCount = 3;

type Options = {
	readonly table: LimitTable;
	/** This host, as it stands in the peer list. */
	readonly self: () => ListedPeer;
	/** All other hosts of the peer list, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** The addresses (`ip:port`) of the hosts that issue permits for an endpoint, best first. */
	readonly coordinators: (endpoint: LimitedEndpoint) => readonly string[];
	/** Sends one peer limits of endpoints; `undefined` when no valid reply came in time. */
	readonly send: (address: string, message: LimitsMessage) => Promise<LimitsReply | undefined>;
	/** Called with a host that sent this host a message, so that it is added to the peer list. */
	readonly noteHost: (peer: ListedPeer) => void;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/**
Creates the exchange of a host that has sent nothing yet. A host that notices the change of a limit reports it to the endpoint's
coordinators, and these report it to all hosts.
*/
export const createLimitExchange = ({table, self, others, coordinators, send, noteHost, now}: Options): LimitExchange => {
	const broadcastAt = new LRUCache<string, number>({max: maxEndpoints});
	let hasRequestedAll = false;

	const sendTo = async (address: string, message: Omit<LimitsMessage, 'sender'>): Promise<void> => {
		const reply = await send(address, {sender: self().address, ...message});
		for (const report of reply?.limits ?? []) {
			applyReport(report);
		}
	};

	const broadcast = (endpoint: LimitedEndpoint): void => {
		if (now() - (broadcastAt.get(endpoint.id) ?? Number.NEGATIVE_INFINITY) < minBroadcastIntervalMs) {
			return;
		}

		broadcastAt.set(endpoint.id, now());
		const ranked = coordinators(endpoint);
		const isCoordinator = ranked.includes(self().address);
		for (const {address} of others()) {
			if (isCoordinator || ranked.includes(address)) {
				void sendTo(address, {limits: [table.report(endpoint)], wantsAll: false});
			}
		}
	};

	const applyReport: LimitExchange['applyReport'] = report => {
		if (table.applyReport(report)) {
			broadcast({id: report.endpoint, hall: report.hall});
		}
	};

	return {
		noteResponse(endpoint, perSecond, askedAt) {
			if (table.applyResponse(endpoint, perSecond, askedAt)) {
				broadcast(endpoint);
			}
		},
		applyReport,
		answer(sender, {limits, wantsAll}) {
			noteHost(sender);
			for (const report of limits) {
				applyReport(report);
			}

			return {limits: wantsAll ? [...table.reportAll()] : []};
		},
		notePeerList() {
			if (hasRequestedAll || others().length === 0) {
				return;
			}

			hasRequestedAll = true;
			const addresses = rankByRendezvous(self().holder, others().map(({address}) => address)).slice(0, initialPeerCount);
			for (const address of addresses) {
				void sendTo(address, {limits: [], wantsAll: true});
			}
		},
	};
};
