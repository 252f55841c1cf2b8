import {coordinatorsOf} from '@deckwheel/routing';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import {createLimitExchange} from './create-limit-exchange.js';
import {createLimitTable} from './create-limit-table.js';
import {createPermitClient} from './create-permit-client.js';
import {createPermitIssuer} from './create-permit-issuer.js';
import type {EndpointLimits} from './endpoint-limits.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';
import type {PermitRequest} from './permit-request.js';
import type {PermitReply} from './permit-reply.js';
import type {Permit} from './permit.js';

/** When it is worth asking again while a host does not know the other hosts yet, or was taken for a coordinator and is none, in ms. */
const unsettledMs = 200;

type Options = {
	/** This host, as it is listed. */
	readonly self: () => ListedPeer;
	/** All other hosts that are listed, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** Whether the list of hosts is known. */
	readonly isSettled: () => boolean;
	/** Asks one peer for a permit; `undefined` when it does not answer in time. */
	readonly askPermit: (address: string, question: PermitRequest) => Promise<PermitReply | undefined>;
	/** Tells one peer of limits; `undefined` when it does not answer in time. */
	readonly sendLimits: (address: string, message: LimitsMessage) => Promise<LimitsReply | undefined>;
	/** Takes in a host that showed itself, or that a peer reported. */
	readonly noteHost: (peer: ListedPeer, how: 'direct' | 'reported') => void;
	/** Called when an endpoint's limit changed: what it was closed for no longer counts. */
	readonly onChanged: (endpoint: string) => void;
	/** Counts how permits were obtained. */
	readonly count: (outcome: 'granted' | 'refused' | 'unanswered') => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the task that keeps what all hosts together send to an endpoint within the limit that it names.

Two hosts coordinate each endpoint (`coordinatorsOf`): the first hands out permits up to the limit, the second a part of it
(`permitRate`), to hosts that cannot reach the first. Who reaches neither sends nothing there. The store is not asked: it may be
away, and each request would cost it a call.
*/
export const createEndpointLimits = (options: Options): EndpointLimits => {
	const {self, others, isSettled, askPermit, sendLimits, noteHost, onChanged, count, log, now} = options;
	const table = createLimitTable({onChanged, log, now});
	const issuer = createPermitIssuer(now);

	const coordinators = (endpoint: LimitedEndpoint): readonly string[] => coordinatorsOf(endpoint, [self(), ...others()]);

	const exchange = createLimitExchange({
		table,
		self,
		others,
		coordinators,
		send: sendLimits,
		noteHost(peer) {
			noteHost(peer, 'direct');
		},
		now,
	});

	const client = createPermitClient({
		table,
		applyReport: exchange.applyReport,
		self,
		issue: issuer.issue,
		ask: askPermit,
		noteHost(peer) {
			noteHost(peer, 'reported');
		},
		now,
	});

	const decide = (endpoint: LimitedEndpoint, ranked: readonly string[]): Permit => {
		const perSecond = table.perSecond(endpoint.id);
		if (perSecond === undefined) {
			return {isGranted: true};
		}

		const rank = ranked.indexOf(self().address);
		return isSettled() && rank !== -1 ? issuer.issue(endpoint.id, perSecond, rank) : {isGranted: false, retryAt: now() + unsettledMs};
	};

	return {
		noteAnswer: exchange.noteAnswer,
		peersListed: exchange.peersListed,
		answerLimits: exchange.answer,
		isLimited: endpoint => table.perSecond(endpoint) !== undefined,
		async acquire(endpoint) {
			if (!isSettled()) {
				return {isGranted: false, retryAt: now() + unsettledMs};
			}

			const ranked = coordinators(endpoint);
			const permit = await client.acquire(endpoint, ranked);
			if (permit === 'unanswered') {
				count('unanswered');
				return {isGranted: false, retryAt: client.askAgainAt(ranked)};
			}

			count(permit.isGranted ? 'granted' : 'refused');
			return permit;
		},
		answerPermit(asker, {limit}) {
			noteHost(asker, 'direct');
			exchange.applyReport(limit);
			const endpoint = {id: limit.endpoint, hall: limit.hall};
			const ranked = coordinators(endpoint);
			const permit = decide(endpoint, ranked);
			const hosts = new Map([self(), ...others()].map(host => [host.address, host]));
			return {
				isGranted: permit.isGranted,
				retryInMs: permit.isGranted ? 0 : Math.max(0, permit.retryAt - now()),
				limit: table.report(endpoint),
				coordinators: ranked.map(address => hosts.get(address)!),
			};
		},
	};
};
