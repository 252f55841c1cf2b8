import {rankByRendezvous} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';

/** Between two messages to all about one endpoint, in ms: one that names another limit in each answer must not flood the hosts. */
const tellPauseMs = 1000;

/** Endpoints for which it is remembered when all were told last: a bound on memory. */
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
	/** Tells one peer; `undefined` when it does not answer in time. */
	readonly tell: (address: string, message: LimitsMessage) => Promise<LimitsReply | undefined>;
	/** Takes in a host that showed itself. */
	readonly noteHost: (peer: ListedPeer) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the exchange of a host that has told and asked nobody yet. A host that hears of a change tells the coordinators, and these tell all. */
export const createLimitExchange = ({table, self, others, coordinators, tell, noteHost, now}: Options): LimitExchange => {
	const toldAt = new LRUCache<string, number>({max: maxEndpoints});
	let hasAsked = false;

	const talkTo = async (address: string, message: Omit<LimitsMessage, 'sender'>): Promise<void> => {
		const reply = await tell(address, {sender: self().address, ...message});
		for (const told of reply?.limits ?? []) {
			learn(told);
		}
	};

	const spread = (endpoint: LimitedEndpoint): void => {
		if (now() - (toldAt.get(endpoint.id) ?? Number.NEGATIVE_INFINITY) < tellPauseMs) {
			return;
		}

		toldAt.set(endpoint.id, now());
		const ranked = coordinators(endpoint);
		const isCoordinator = ranked.includes(self().address);
		for (const {address} of others()) {
			if (isCoordinator || ranked.includes(address)) {
				void talkTo(address, {limits: [table.tell(endpoint)], wantsAll: false});
			}
		}
	};

	const learn: LimitExchange['learn'] = told => {
		if (table.noteTold(told)) {
			spread({id: told.endpoint, hall: told.hall});
		}
	};

	return {
		heard(endpoint, perSecond, sentAt) {
			if (table.noteAnswer(endpoint, perSecond, sentAt)) {
				spread(endpoint);
			}
		},
		learn,
		answer(sender, {limits, wantsAll}) {
			noteHost(sender);
			for (const told of limits) {
				learn(told);
			}

			return {limits: wantsAll ? [...table.tellAll()] : []};
		},
		peersListed() {
			if (hasAsked || others().length === 0) {
				return;
			}

			hasAsked = true;
			const asked = rankByRendezvous(self().holder, others().map(({address}) => address)).slice(0, peersAsked);
			for (const address of asked) {
				void talkTo(address, {limits: [], wantsAll: true});
			}
		},
	};
};
