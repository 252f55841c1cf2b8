import type {Refusal} from '@deckwheel/core';

/** A refusal as callers see it. */
type ErrorBody = {
	readonly error: {
		readonly code: string;
		readonly message: string;
		readonly ran: string;
		readonly retry_after_seconds: number | undefined;
	};
};

/** Translates a refusal for callers. */
export const errorBody = ({code, message, ran, retryAfterSeconds}: Refusal): ErrorBody => ({
	error: {
		code, message, ran, retry_after_seconds: retryAfterSeconds,
	},
});
