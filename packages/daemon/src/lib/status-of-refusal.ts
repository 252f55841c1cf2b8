import type {RefusalCode} from '@deckwheel/core';

/** The HTTP status that goes with each refusal. */
export const statusOfRefusal: Readonly<Record<RefusalCode, number>> = {
	bad_request: 400,
	unauthorized: 401,
	not_found: 404,
	unknown_model: 404,
	key_conflict: 422,
	budget_exhausted: 402,
	rights_unavailable: 503,
	claim_unavailable: 503,
	already_running: 409,
	outcome_unknown: 409,
	overloaded: 429,
	deadline_exceeded: 504,
	no_endpoint: 503,
	endpoint_failed: 502,
	stopping: 503,
	not_ready: 503,
};
