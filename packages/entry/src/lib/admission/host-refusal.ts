import type {Refusal, RefusalCode} from '@deckwheel/core';

/** Why an entry host refuses: some of the product's codes, and some of its own. */
type HostRefusalCode = Extract<
	RefusalCode,
	'bad_request' | 'unauthorized' | 'not_found' | 'budget_exhausted' | 'rights_unavailable' | 'overloaded' | 'deadline_exceeded' | 'no_endpoint' | 'endpoint_failed' | 'request_blocked' | 'not_ready'
> | 'budget_kept' | 'host_overloaded' | 'host_stopping' | 'endpoints_resting' | 'endpoints_limited' | 'endpoints_cold' | 'endpoints_evacuated' | 'too_large';

/**
A final answer of this host's own.

`deckwheeld` sets another status for some codes (`daemon/src/lib/status-of-refusal.ts`): on a platform, 429 and 503 promise
that the request did not run and never will, and 502 and 504 say nothing of it.
*/
export type HostRefusal = Refusal<HostRefusalCode> & {
	/** HTTP status. */
	readonly status: number;
};
