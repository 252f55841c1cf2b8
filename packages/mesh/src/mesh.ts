import type {Result} from '@deckwheel/core';
import type {LinkError} from './link-error.js';

/** A host's links to its peers. Links are dialled when first used, and again after they broke. */
export type Mesh = {
	/** The port that this host's peers reach it at. */
	readonly port: number;
	/**
	Sends a request and waits for its reply.

	@param address The peer's `ip:port`.
	@param timeoutMs Given up on after this; the peer may have acted.
	*/
	readonly request: (address: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, LinkError>>;
	/** Sends a message that gets no reply. Messages to one peer arrive in order, or not at all. */
	readonly send: (address: string, body: unknown) => void;
	/** How long ago the last bytes of a peer came over its link, in ms; `undefined` without a link. */
	readonly quietMs: (address: string) => number | undefined;
	readonly close: () => Promise<void>;
};
