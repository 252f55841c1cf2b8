import {httpStatus, type RefusalCode} from '@deckwheel/core';

/**
The HTTP status that goes with each refusal of `deckwheeld`.

The entry host on a platform sets some others (`entry/src/lib/admission/host-refusals.ts`), as its platform asks.
*/
export const statusOfRefusal: Readonly<Record<RefusalCode, number>> = {
	bad_request: httpStatus.badRequest,
	unauthorized: httpStatus.unauthorized,
	not_found: httpStatus.notFound,
	unknown_model: httpStatus.notFound,
	key_conflict: httpStatus.unprocessableContent,
	budget_exhausted: httpStatus.paymentRequired,
	rights_unavailable: httpStatus.serviceUnavailable,
	claim_unavailable: httpStatus.serviceUnavailable,
	already_running: httpStatus.conflict,
	outcome_unknown: httpStatus.conflict,
	overloaded: httpStatus.tooManyRequests,
	deadline_exceeded: httpStatus.gatewayTimeout,
	// Nobody reads it: it goes into the log.
	caller_left: httpStatus.serviceUnavailable,
	http_version_unsupported: httpStatus.httpVersionNotSupported,
	no_endpoint: httpStatus.serviceUnavailable,
	endpoint_failed: httpStatus.badGateway,
	request_blocked: httpStatus.tooManyRequests,
	stopping: httpStatus.serviceUnavailable,
	not_ready: httpStatus.serviceUnavailable,
};
