import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {ToldLimit} from './told-limit.js';

/** What hosts tell each other of the limits of endpoints. */
export type LimitExchange = {
	/** Takes in what an answer of an endpoint said of its limit. `sentAt`: when the request was sent, in monotonic ms. */
	readonly heard: (endpoint: LimitedEndpoint, perSecond: number | undefined, sentAt: number) => void;
	/** Takes in what a peer told of one limit. */
	readonly learn: (told: ToldLimit) => void;
	/** Answers a peer that tells of limits, or asks for them. */
	readonly answer: (sender: ListedPeer, message: Omit<LimitsMessage, 'sender'>) => LimitsReply;
	/** Asks peers for the limits that they know, once there are any. */
	readonly peersListed: () => void;
};
