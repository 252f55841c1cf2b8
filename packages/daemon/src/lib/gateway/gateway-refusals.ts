import type {Refusal} from '@deckwheel/core';

/** What the gateway refuses before anything was claimed. */
export const gatewayRefusals = {
	stopping: {
		code: 'stopping', message: 'This host is about to stop. Retry; another host will serve you.', ran: 'not_run', retryAfterSeconds: 1,
	},
	notReady: {
		code: 'not_ready', message: 'This host has no bundle yet. Retry; another host may serve you.', ran: 'not_run', retryAfterSeconds: 2,
	},
	unauthorized: {code: 'unauthorized', message: 'Send "Authorization: Bearer <API key>" with a key that your operator issued.', ran: 'not_run'},
	tooManyOpen: {
		code: 'overloaded', message: 'This host has too many requests open.', ran: 'not_run', retryAfterSeconds: 1,
	},
	unknownModel: {code: 'unknown_model', message: 'There is no such model. See GET /v1/models.', ran: 'not_run'},
	unframedStream: {code: 'http_version_unsupported', message: 'In HTTP/1.0, the end of a stream looks like a break. Ask for it in HTTP/1.1.', ran: 'not_run'},
	unknownCall: {code: 'not_found', message: 'There is no such service or call in the bundle in force.', ran: 'not_run'},
} as const satisfies Readonly<Record<string, Refusal>>;
