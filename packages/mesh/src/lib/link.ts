import type {Result} from '@deckwheel/core';
import type {LinkError} from '../link-error.js';

/** An outgoing link to one peer. */
export type Link = {
	/** Sends a message that gets no reply. */
	readonly send: (body: unknown) => void;
	/** Sends a request and waits up to `timeoutMs` ms for the body of its reply. */
	readonly request: (body: unknown, timeoutMs: number) => Promise<Result<unknown, LinkError>>;
	readonly close: () => void;
};
