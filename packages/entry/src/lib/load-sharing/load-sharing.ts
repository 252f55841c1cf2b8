import type {Identity} from '@deckwheel/mesh';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {LoadTracker} from './load-tracker.js';
import type {LoadMessage} from './wire/load-message.js';
import type {LoadReply} from './wire/load-reply.js';

/** Shares between hosts what is open at endpoints, how fast these are, and which of them ended. */
export type LoadSharing = {
	readonly loads: LoadTracker;
	/** Replaces the listed endpoints. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Notes that this host found an incarnation of an endpoint ended, which it tells its peers for a few seconds. Idempotent. */
	readonly noteEnded: (endpoint: string) => void;
	/** Replies to a peer that reports its load to this host as a load leader. */
	readonly answerLoad: (from: Identity, message: LoadMessage) => LoadReply;
	readonly close: () => void;
};
