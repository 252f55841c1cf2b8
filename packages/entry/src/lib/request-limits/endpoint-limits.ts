import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {PermitRequest} from './permit-request.js';
import type {PermitReply} from './permit-reply.js';
import type {Permit} from './permit.js';

/** Keeps what all hosts together send to an endpoint within the limit that it names. */
export type EndpointLimits = Pick<LimitExchange, 'noteAnswer' | 'peersListed'> & {
	/** Whether a request needs a permit now. */
	readonly isLimited: (endpoint: string) => boolean;
	/** Acquires a permit for one request to an endpoint with a limit. */
	readonly acquire: (endpoint: LimitedEndpoint) => Promise<Permit>;
	/** Answers a peer that asks this host, as a coordinator, for a permit. */
	readonly answerPermit: (asker: ListedPeer, question: Omit<PermitRequest, 'asker'>) => PermitReply;
	/** Answers a peer that reports limits, or asks for them. */
	readonly answerLimits: LimitExchange['answer'];
};
