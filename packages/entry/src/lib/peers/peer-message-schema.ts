import {suspicionsRequestSchema} from '@deckwheel/poison';
import {z} from 'zod';
import {loadMessageSchema} from '../load-sharing/wire/load-message-schema.js';
import {limitsMessageSchema} from '../request-limits/limits-message-schema.js';
import {permitRequestSchema} from '../request-limits/permit-request-schema.js';
import {originsMessageSchema} from '../stream-origins/wire/origins-message-schema.js';
import {reachRequestSchema} from '../tunnels/reach-request-schema.js';
import {tunnelEndRequestSchema} from '../tunnels/tunnel-end-request-schema.js';
import {tunnelRequestSchema} from '../tunnels/tunnel-request-schema.js';

/** The schema of the requests that hosts send to each other. Amounts are tokens. */
export const peerMessageSchema = z.discriminatedUnion('type', [
	/**
	A request for a loan. `demanded`: all tokens ever demanded by requests of callers at the borrower; `received`: all tokens that the borrower
	knows to have received from the lender; `rank`: the most urgent of the callers' requests that wait for the loan.
	*/
	z.object({
		type: z.literal('lend'),
		budget: z.string(),
		tokens: z.number().positive(),
		demanded: z.number().nonnegative(),
		received: z.number().nonnegative(),
		rank: z.object({priority: z.number(), tokens: z.number().nonnegative()}).optional(),
	}),
	/** A request whether a topic of the store changed after the revision `after`. The reply may be held for `holdMs`. */
	z.object({
		type: z.literal('news'), topic: z.string().max(100), after: z.number().nonnegative(), holdMs: z.number().nonnegative().max(5000),
	}),
	/** A request for the changes of a topic of the store after the revision `after`, or from what the peer knows of it, `base`. */
	z.object({
		type: z.literal('patch'), topic: z.string().max(100), after: z.number().nonnegative(), base: z.unknown().optional(),
	}),
	/** A return of rights. `to`: the incarnation of the host that it is meant for; `total`: all tokens of this budget that the sender ever gave to that incarnation. */
	z.object({
		type: z.literal('hand_back'), to: z.string(), budget: z.string(), total: z.number().nonnegative(),
	}),
	suspicionsRequestSchema,
	permitRequestSchema,
	limitsMessageSchema,
	loadMessageSchema,
	originsMessageSchema,
	tunnelRequestSchema,
	reachRequestSchema,
	tunnelEndRequestSchema,
]);
