import type {Refusal} from './refusal.js';

/** A refusal as callers see it. */
type RefusalBody = {
	readonly error: {
		readonly code: string;
		readonly message: string;
		readonly ran: string;
		readonly retry_after_seconds: number | undefined;
	};
};

/** Translates a refusal for callers. The body is the same from every program. */
export const refusalBody = ({code, message, ran, retryAfterSeconds}: Refusal<string>): RefusalBody => ({
	error: {
		code, message, ran, retry_after_seconds: retryAfterSeconds,
	},
});
