import type {RefusalCode} from './refusal-code.js';
import type {RunState} from './run-state.js';

/**
The reason why a request ends without the result that its caller asked for.

`deckwheeld` refuses with a `RefusalCode`. The entry host on a platform has its own list of codes, because the platform
requires other HTTP statuses for the same reasons.
*/
export type Refusal<Code extends string = RefusalCode> = {
	/** The reason, as a stable code for the caller's program. */
	readonly code: Code;
	/** The reason, as a sentence for the caller's engineers. */
	readonly message: string;
	readonly ran: RunState;
	/** The time after which the caller should retry, in seconds from now; absent if a retry cannot help. */
	readonly retryAfterSeconds?: number;
};
