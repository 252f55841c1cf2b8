import type {Refusal, RefusalCode} from '@deckwheel/core';

/** The codes with which an entry host refuses: some of the product's codes, and some that only entry hosts use. */
type HostRefusalCode = Extract<
	RefusalCode,
	'bad_request' | 'unauthorized' | 'not_found' | 'budget_exhausted' | 'rights_unavailable' | 'overloaded' | 'deadline_exceeded' | 'http_version_unsupported' | 'no_endpoint' | 'endpoint_failed' | 'request_blocked' | 'not_ready'
> | 'budget_kept' | 'config_outdated'
| 'config_unconfirmed' | 'host_overloaded' | 'host_stopping' | 'endpoints_resting' | 'endpoints_limited' | 'endpoints_cold' | 'endpoints_evacuated' | 'too_large'
| 'stream_origin_unknown' | 'stream_origin_unreadable' | 'stream_version_gone';

/**
A final response that an entry host gives of its own, in place of an endpoint's response.

`deckwheeld` sets another status for some codes (`daemon/src/lib/gateway/status-of-refusal.ts`). On a platform, 429 and 503 promise
that the request did not run and never will; 502 and 504 leave open whether it ran.
*/
export type HostRefusal = Refusal<HostRefusalCode> & {
	/** The HTTP status. */
	readonly status: number;
	/** Whether the room for which callers come back is expected little by little, so that they must not come back all at once (`spreadRetryAfter`). */
	readonly isRoomGradual?: boolean;
};
