import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {PermitRequest} from './permit-request.js';
import type {PermitReply} from './permit-reply.js';
import type {Permit} from './permit.js';

/** How long a coordinator that did not reply is not asked again, in ms. */
const unresponsiveMs = 3000;

type Options = {
	readonly table: LimitTable;
	readonly applyReport: LimitExchange['applyReport'];
	/** This host, as it stands in the peer list. */
	readonly self: () => ListedPeer;
	/** Issues a permit as the coordinator of the given rank, from 0, under a limit of `perSecond` requests. */
	readonly issue: (endpoint: string, perSecond: number, rank: number) => Permit;
	/** Requests a permit from one peer; `undefined` when no valid reply came in time. */
	readonly sendRequest: (address: string, request: PermitRequest) => Promise<PermitReply | undefined>;
	/** Called with a host that a peer named, so that it is added to the peer list. */
	readonly noteHost: (peer: ListedPeer) => void;
	/** The time in monotonic ms. */
	readonly now: () => number;
};

/** Acquires permits from the coordinators of an endpoint. */
type PermitClient = {
	/**
	Acquires a permit for one request; `unanswered` when no coordinator could be asked or none replied.

	@param coordinators Their addresses (`ip:port`), best first; this host may be one of them.
	*/
	readonly acquire: (endpoint: LimitedEndpoint, coordinators: readonly string[]) => Promise<Permit | 'unanswered'>;
	/** When the first of the coordinators may be asked again, in monotonic ms. */
	readonly retryAt: (coordinators: readonly string[]) => number;
};

/** Creates a client to which no coordinator counts as unresponsive yet. */
export const createPermitClient = ({table, applyReport, self, issue, sendRequest, noteHost, now}: Options): PermitClient => {
	const unresponsiveUntil = new Map<string, number>();
	const getUnresponsiveUntil = (address: string): number => unresponsiveUntil.get(address) ?? 0;

	const requestPermit = async (address: string, endpoint: LimitedEndpoint): Promise<Permit | undefined> => {
		const reply = await sendRequest(address, {asker: self().address, limit: table.report(endpoint)});
		if (!reply) {
			unresponsiveUntil.set(address, now() + unresponsiveMs);
			return undefined;
		}

		applyReport(reply.limit);
		for (const coordinator of reply.coordinators) {
			noteHost(coordinator);
		}

		return reply.isGranted ? {isGranted: true} : {isGranted: false, retryAt: now() + reply.retryInMs};
	};

	return {
		async acquire(endpoint, coordinators) {
			for (const [rank, address] of coordinators.entries()) {
				const perSecond = table.perSecond(endpoint.id);
				if (perSecond === undefined) {
					return {isGranted: true};
				}

				if (address === self().address) {
					return issue(endpoint.id, perSecond, rank);
				}

				const permit = getUnresponsiveUntil(address) > now() ? undefined : await requestPermit(address, endpoint);
				if (permit) {
					return permit;
				}
			}

			return 'unanswered';
		},
		retryAt: coordinators => Math.min(...coordinators.map(address => getUnresponsiveUntil(address))),
	};
};
