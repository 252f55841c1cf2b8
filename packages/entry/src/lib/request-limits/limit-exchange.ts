import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitReport} from './limit-report.js';

/** What hosts tell each other of the limits of endpoints. */
export type LimitExchange = {
	/** Takes in what an answer of an endpoint said of its limit. `askedAt`: when the request was sent, in monotonic ms. */
	readonly noteAnswer: (endpoint: LimitedEndpoint, perSecond: number | undefined, askedAt: number) => void;
	/** Takes in what a peer reported of one limit. */
	readonly applyReport: (report: LimitReport) => void;
	/** Answers a peer that reports limits, or asks for them. */
	readonly answer: (sender: ListedPeer, message: Omit<LimitsMessage, 'sender'>) => LimitsReply;
	/** Asks peers for the limits that they know, once there are any. */
	readonly peersListed: () => void;
};
