import {rankByRendezvous} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';

/** Between two messages to all about one endpoint, in ms: one that names another limit in each answer must not flood the hosts. */
const broadcastPauseMs = 1000;

/** Endpoints for which it is remembered when all were informed last: a bound on memory. */
const maxEndpoints = 5000;

/** Peers that a host asks for the limits that they know when it starts. */
const peersAsked = 3;

type Options = {
	readonly table: LimitTable;
	/** This host, as it is listed. */
	readonly self: () => ListedPeer;
	/** All other hosts that are listed, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** Addresses of the hosts that hand out permits for an endpoint. */
	readonly coordinators: (endpoint: LimitedEndpoint) => readonly string[];
	/** Informs one peer; `undefined` when it does not answer in time. */
	readonly send: (address: string, message: LimitsMessage) => Promise<LimitsReply | undefined>;
	/** Takes in a host that showed itself. */
	readonly noteHost: (peer: ListedPeer) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the exchange of a host that has sent nothing yet. A host that notices a change reports it to the coordinators, and these to all. */
export const createLimitExchange = ({table, self, others, coordinators, send, noteHost, now}: Options): LimitExchange => {
	const informedAt = new LRUCache<string, number>({max: maxEndpoints});
	let hasAsked = false;

	const sendTo = async (address: string, message: Omit<LimitsMessage, 'sender'>): Promise<void> => {
		const reply = await send(address, {sender: self().address, ...message});
		for (const report of reply?.limits ?? []) {
			applyReport(report);
		}
	};

	const broadcast = (endpoint: LimitedEndpoint): void => {
		if (now() - (informedAt.get(endpoint.id) ?? Number.NEGATIVE_INFINITY) < broadcastPauseMs) {
			return;
		}

		informedAt.set(endpoint.id, now());
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
		noteAnswer(endpoint, perSecond, askedAt) {
			if (table.applyAnswer(endpoint, perSecond, askedAt)) {
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
		peersListed() {
			if (hasAsked || others().length === 0) {
				return;
			}

			hasAsked = true;
			const asked = rankByRendezvous(self().holder, others().map(({address}) => address)).slice(0, peersAsked);
			for (const address of asked) {
				void sendTo(address, {limits: [], wantsAll: true});
			}
		},
	};
};
