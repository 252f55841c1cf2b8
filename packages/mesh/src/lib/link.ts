import type {Outcome} from '@deckwheel/core';
import type {LinkError} from '../link-error.js';

/** An outgoing link to one peer. */
export type Link = {
	/** How long ago the peer's last bytes came, in ms; since the dial while none did. */
	readonly quietMs: () => number;
	readonly send: (body: unknown) => void;
	readonly request: (body: unknown, timeoutMs: number) => Promise<Outcome<unknown, LinkError>>;
	readonly close: () => void;
};
