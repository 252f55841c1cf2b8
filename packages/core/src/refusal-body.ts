import type {Refusal} from './refusal.js';

/** The JSON body of the response that refuses a request. */
type RefusalBody = {
	readonly error: {
		readonly code: string;
		readonly message: string;
		readonly ran: string;
		readonly retry_after_seconds: number | undefined;
	};
};

/** Converts a refusal to the body of its HTTP response. Every program sends the same form of body. */
export const refusalBody = ({code, message, ran, retryAfterSeconds}: Refusal<string>): RefusalBody => ({
	error: {
		code, message, ran, retry_after_seconds: retryAfterSeconds,
	},
});
