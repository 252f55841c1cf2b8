import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitTable} from './limit-table.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {PermitRequest} from './permit-request.js';
import type {PermitReply} from './permit-reply.js';
import type {Permit} from './permit.js';

/** How long a coordinator that did not answer is not asked, in ms. */
const silenceMs = 3000;

type Options = {
	readonly table: LimitTable;
	readonly applyReport: LimitExchange['applyReport'];
	/** This host, as it is listed. */
	readonly self: () => ListedPeer;
	/** Hands out a permit as the coordinator of that rank, from 0. */
	readonly issue: (endpoint: string, perSecond: number, rank: number) => Permit;
	/** Asks one peer for a permit; `undefined` when it does not answer in time. */
	readonly ask: (address: string, question: PermitRequest) => Promise<PermitReply | undefined>;
	/** Takes in a host that a peer reported. */
	readonly noteHost: (peer: ListedPeer) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Acquires permits from the coordinators of an endpoint. */
type PermitClient = {
	/** @param coordinators Their addresses, best first; this host may be one of them. */
	readonly acquire: (endpoint: LimitedEndpoint, coordinators: readonly string[]) => Promise<Permit | 'unanswered'>;
	/** When one of the coordinators may be asked again, in monotonic ms. */
	readonly askAgainAt: (coordinators: readonly string[]) => number;
};

/** Creates a client that takes all coordinators to be in reach. */
export const createPermitClient = ({table, applyReport, self, issue, ask, noteHost, now}: Options): PermitClient => {
	const silentUntil = new Map<string, number>();
	const silenceOf = (address: string): number => silentUntil.get(address) ?? 0;

	const askOne = async (address: string, endpoint: LimitedEndpoint): Promise<Permit | undefined> => {
		const reply = await ask(address, {asker: self().address, limit: table.report(endpoint)});
		if (!reply) {
			silentUntil.set(address, now() + silenceMs);
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

				const permit = silenceOf(address) > now() ? undefined : await askOne(address, endpoint);
				if (permit) {
					return permit;
				}
			}

			return 'unanswered';
		},
		askAgainAt: coordinators => Math.min(...coordinators.map(address => silenceOf(address))),
	};
};
