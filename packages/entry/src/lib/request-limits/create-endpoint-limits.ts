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

/** The time until it is worth asking again, in ms, when a host does not know the peer list yet, or was taken for a coordinator and is none. */
const unknownPeersRetryMs = 200;

type Options = {
	/** This host, as it stands in the peer list. */
	readonly self: () => ListedPeer;
	/** All other hosts of the peer list, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** Whether this host knows the peer list. */
	readonly isPeerListKnown: () => boolean;
	/** Requests a permit from one peer; `undefined` when no valid reply came in time. */
	readonly requestPermit: (address: string, request: PermitRequest) => Promise<PermitReply | undefined>;
	/** Sends one peer limits of endpoints; `undefined` when no valid reply came in time. */
	readonly sendLimits: (address: string, message: LimitsMessage) => Promise<LimitsReply | undefined>;
	/** Called with a host that sent this host a message (`direct`) or that a peer named (`reported`), so that it is added to the peer list. */
	readonly noteHost: (peer: ListedPeer, how: 'direct' | 'reported') => void;
	/** Called when an endpoint's limit changed: a refusal under the old limit no longer excludes the endpoint. */
	readonly onLimitChanged: (endpoint: string) => void;
	/** Counts the outcomes of requests for permits. `unanswered`: no coordinator replied. */
	readonly count: (outcome: 'granted' | 'refused' | 'unanswered') => void;
	readonly log: Log;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/**
Creates the task that keeps the requests of all hosts together to an endpoint within the limit that the endpoint names.

Two hosts coordinate each endpoint (`coordinatorsOf`). The first issues permits up to the limit; the second issues permits up to a part
of the limit (`permitRate`) to hosts that cannot reach the first. A host that reaches neither sends the endpoint no request. The store
takes no part: it may be unavailable, and each request would cost it a call.
*/
export const createEndpointLimits = (options: Options): EndpointLimits => {
	const {self, others, isPeerListKnown, requestPermit, sendLimits, noteHost, onLimitChanged, count, log, now} = options;
	const table = createLimitTable({onLimitChanged, log, now});
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
		sendRequest: requestPermit,
		noteHost(peer) {
			noteHost(peer, 'reported');
		},
		now,
	});

	const issuePermit = (endpoint: LimitedEndpoint, ranked: readonly string[]): Permit => {
		const perSecond = table.perSecond(endpoint.id);
		if (perSecond === undefined) {
			return {isGranted: true};
		}

		const rank = ranked.indexOf(self().address);
		return isPeerListKnown() && rank !== -1 ? issuer.issue(endpoint.id, perSecond, rank) : {isGranted: false, retryAt: now() + unknownPeersRetryMs};
	};

	return {
		noteResponse: exchange.noteResponse,
		notePeerList: exchange.notePeerList,
		answerLimits: exchange.answer,
		isLimited: endpoint => table.perSecond(endpoint) !== undefined,
		async acquire(endpoint) {
			if (!isPeerListKnown()) {
				return {isGranted: false, retryAt: now() + unknownPeersRetryMs};
			}

			const ranked = coordinators(endpoint);
			const permit = await client.acquire(endpoint, ranked);
			if (permit === 'unanswered') {
				count('unanswered');
				return {isGranted: false, retryAt: client.retryAt(ranked)};
			}

			count(permit.isGranted ? 'granted' : 'refused');
			return permit;
		},
		answerPermit(asker, {limit}) {
			noteHost(asker, 'direct');
			exchange.applyReport(limit);
			const endpoint = {id: limit.endpoint, hall: limit.hall};
			const ranked = coordinators(endpoint);
			const permit = issuePermit(endpoint, ranked);
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
