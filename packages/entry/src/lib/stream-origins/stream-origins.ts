import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FoundOrigin} from './found-origin.js';
import type {TakenUp} from './taken-up.js';
import type {SentStream} from './sent-stream.js';
import type {ServedVersions} from './served-versions.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';

/** Keeps, together with the other hosts, which software version began each stream, so that any host can go on with it. */
export type StreamOrigins = {
	/** Replaces the endpoints whose versions this host knows. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Notes that the list has all changes that the platform made before the instant `at`, in elapsed ms. */
	readonly listConfirmed: (at: number) => void;
	/**
	Notes that an attempt of a stream is sent to an endpoint. Resolves once another host and the store keep the origin, or cannot in time, or
	need not.
	*/
	readonly noteSent: (sent: SentStream) => Promise<void>;
	/** Notes that the caller has the whole stream, so that nobody takes it up. */
	readonly noteWhole: (key: string) => void;
	/**
	Finds the origin of a stream. Takes no longer than a peer and the store may take to reply.
	*/
	readonly findOrigin: (key: string, takenUp: TakenUp) => Promise<FoundOrigin>;
	/**
	The version to which new streams of a service are best sent: its base while the store takes no origins, since those of the base need not be
	stored. `undefined` where any will do.
	*/
	readonly preferredVersion: (service: string) => string | undefined;
	/** Tells whether the version that began a stream takes no requests any more (`ServedVersions`). */
	readonly findGone: ServedVersions['findGone'];
	/** Notes that the store was restored from an older copy. */
	readonly noteRestored: () => void;
	/** Takes in origins that a peer tells, and returns those that it asks for, with the versions of services. */
	readonly answerOrigins: (message: Omit<OriginsMessage, 'type'>) => Promise<OriginsReply>;
	/** Writes nothing to the store any more. */
	readonly close: () => void;
};
