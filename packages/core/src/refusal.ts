import type {RefusalCode} from './refusal-code.js';
import type {RunState} from './run-state.js';

/** A final answer that is not the caller's result. */
export type Refusal = {
	readonly code: RefusalCode;
	readonly message: string;
	readonly ran: RunState;
	/** When the caller should come back, as seconds from now; absent when coming back cannot help. */
	readonly retryAfterSeconds?: number;
};
