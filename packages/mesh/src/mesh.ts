import type {Result} from '@deckwheel/core';
import type {LinkError} from './link-error.js';

/** The links of a host to its peers. A link is dialled when it is first used, and again when it is used after it was closed. */
export type Mesh = {
	/** The port on which this host listens for its peers. */
	readonly port: number;
	/**
	Sends a request and waits for its reply.

	@param address The peer's `ip:port`.
	@param timeoutMs The request fails as `unknown` after this time; the peer may have handled it.
	*/
	readonly request: (address: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, LinkError>>;
	/** Sends a message that gets no reply. Messages to one peer arrive in order, or not at all. */
	readonly send: (address: string, body: unknown) => void;
	/** The time since the last bytes of a peer came over the link to it, in ms; `undefined` without a link. */
	readonly quietMs: (address: string) => number | undefined;
	/** Closes all links and stops listening. */
	readonly close: () => Promise<void>;
};
