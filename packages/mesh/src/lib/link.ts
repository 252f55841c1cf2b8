import type {Result} from '@deckwheel/core';
import type {LinkError} from '../link-error.js';

/** An outgoing link to one peer. */
export type Link = {
	readonly send: (body: unknown) => void;
	readonly request: (body: unknown, timeoutMs: number) => Promise<Result<unknown, LinkError>>;
	readonly close: () => void;
};
