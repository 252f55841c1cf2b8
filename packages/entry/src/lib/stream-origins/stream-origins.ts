import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FoundOrigin} from './found-origin.js';
import type {KeptOrigin} from './kept-origin.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';

/** Keeps, together with the other hosts, which software version began each stream, so that any host can go on with it. */
export type StreamOrigins = {
	/** Replaces the endpoints whose versions this host knows. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/**
	Notes that an attempt of a stream is sent to an endpoint. Resolves once another host keeps the origin, or none can or needs to be told.
	*/
	readonly noteSent: (sent: Omit<KeptOrigin, 'notedAt'>) => Promise<void>;
	/** Notes that the caller has the whole stream, so that nobody takes it up. */
	readonly noteWhole: (key: string) => void;
	/** Finds the origin of a stream of one of these services. Takes no longer than a peer may take to reply. */
	readonly findOrigin: (key: string, services: readonly string[]) => Promise<FoundOrigin>;
	/** Takes in origins that a peer tells, and returns those that it asks for. */
	readonly answerOrigins: (message: Pick<OriginsMessage, 'told' | 'asked'>) => OriginsReply;
};
