import type {RefusalCode} from './refusal-code.js';
import type {RunState} from './run-state.js';

/**
A final answer that is not the caller's result.

`deckwheeld` refuses with `RefusalCode`; the entry host on a platform has a list of its own, since the platform sets other
HTTP statuses for the same reasons.
*/
export type Refusal<Code extends string = RefusalCode> = {
	/** Stable, for programs. */
	readonly code: Code;
	readonly message: string;
	readonly ran: RunState;
	/** When the caller should come back, as seconds from now; absent when coming back cannot help. */
	readonly retryAfterSeconds?: number;
};
