import type {RunState} from '@deckwheel/core';

/** A final answer of this host's own. */
export type HostRefusal = {
	/** HTTP status. 429 and 503 promise that the request did not run and never will. */
	readonly status: number;
	/** Stable, for programs. */
	readonly code: string;
	readonly message: string;
	readonly ran: RunState;
	/** When the caller should come back; absent when coming back cannot help. */
	readonly retryAfterSeconds?: number;
};
