import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitExchange} from './limit-exchange.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {PermitRequest} from './permit-request.js';
import type {PermitReply} from './permit-reply.js';
import type {Permit} from './permit.js';

/** Keeps the requests of all hosts together to an endpoint within the limit that the endpoint names. */
export type EndpointLimits = Pick<LimitExchange, 'noteResponse' | 'notePeerList'> & {
	/** Whether a request to an endpoint needs a permit now. */
	readonly isLimited: (endpoint: string) => boolean;
	/** Acquires a permit for one request to an endpoint with a limit. */
	readonly acquire: (endpoint: LimitedEndpoint) => Promise<Permit>;
	/** Replies to a peer that requests a permit from this host as a coordinator. */
	readonly answerPermit: (asker: ListedPeer, request: Omit<PermitRequest, 'asker'>) => PermitReply;
	/** Replies to a peer that reports limits or asks for them. */
	readonly answerLimits: LimitExchange['answer'];
};
