/** The codes of refusals in responses to callers. Callers rely on the codes, so a code never changes. */
export type RefusalCode =
	| 'bad_request'
	| 'unauthorized'
	| 'not_found'
	| 'unknown_model'
	| 'key_conflict'
	| 'budget_exhausted'
	| 'rights_unavailable'
	| 'claim_unavailable'
	| 'already_running'
	| 'outcome_unknown'
	| 'overloaded'
	| 'deadline_exceeded'
	| 'no_endpoint'
	| 'endpoint_failed'
	| 'request_blocked'
	| 'stopping'
	| 'not_ready';
