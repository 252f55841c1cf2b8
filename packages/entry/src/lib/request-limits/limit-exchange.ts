import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LimitsMessage} from './limits-message.js';
import type {LimitsReply} from './limits-reply.js';
import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitReport} from './limit-report.js';

/** Exchanges the limits of endpoints with the peers of a host. */
export type LimitExchange = {
	/**
	Records the limit that a response of an endpoint named, in requests a second; `undefined` when it named none. `askedAt`: when the
	request was sent, in monotonic ms.
	*/
	readonly noteResponse: (endpoint: LimitedEndpoint, perSecond: number | undefined, askedAt: number) => void;
	/** Records a limit that a peer reported. */
	readonly applyReport: (report: LimitReport) => void;
	/** Replies to a peer that reports limits or asks for them. */
	readonly answer: (sender: ListedPeer, message: Omit<LimitsMessage, 'sender'>) => LimitsReply;
	/** Called when a peer list came: asks a few peers for all their limits, once, as soon as there are other hosts. */
	readonly notePeerList: () => void;
};
