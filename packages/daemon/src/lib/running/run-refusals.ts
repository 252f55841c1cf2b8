import type {Refusal, RunState} from '@deckwheel/core';

/** When a caller should come back with the same key, in seconds. */
const comeBackSeconds = 2;

const outcomeUnknown: Refusal = {
	code: 'outcome_unknown', message: 'Contact with the endpoint was lost. Whether the request ran is unknown; it will not be run again.', ran: 'unknown',
};

const callerLeft: Refusal = {code: 'caller_left', message: 'The caller closed its connection before the request was sent.', ran: 'not_run'};

const keyConflict: Refusal = {code: 'key_conflict', message: 'This key was used for a request with other content. Use a new key.', ran: 'not_run'};

/** The refusals of a job that was claimed, or could not be. */
export const runRefusals = {
	deadlineExceeded: (ran: RunState): Refusal => ({code: 'deadline_exceeded', message: 'The deadline passed before the answer was there.', ran}),
	callerLeft,
	endpointFailed: (ran: RunState): Refusal => ({
		code: 'endpoint_failed', message: 'The endpoint broke off. Retry with the same key.', ran, retryAfterSeconds: comeBackSeconds,
	}),
	outcomeUnknown,
	streamEnded: (ran: RunState): Refusal => ({
		code: 'endpoint_failed', message: 'The run that began this stream may have ended. Send the request with the same key and without Last-Event-ID to get a whole answer.', ran,
	}),
	/** `waitMs`: until it is tried again. */
	requestBlocked: (waitMs: number): Refusal => ({
		code: 'request_blocked',
		message: 'Endpoints ended one after the other while they ran this request. Coming back earlier is of no use.',
		ran: 'not_run',
		retryAfterSeconds: Math.ceil(waitMs / 1000),
	}),
	/** A key that the caller presented may have run before, in a hall that cannot be asked now. */
	claimUnavailable: (isKeyPresented: boolean): Refusal => ({
		code: 'claim_unavailable',
		message: 'The hall that keeps the record of this key cannot be reached now. Retry with the same key.',
		ran: isKeyPresented ? 'unknown' : 'not_run',
		retryAfterSeconds: comeBackSeconds,
	}),
	keyConflict,
} as const;
