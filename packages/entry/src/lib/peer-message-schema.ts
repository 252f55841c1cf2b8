import {z} from 'zod';

/** What hosts ask of each other. Amounts are tokens. */
export const peerMessageSchema = z.discriminatedUnion('type', [
	/** `demanded`: tokens ever demanded by requests of the asker; `received`: all that it knows to have got from the lender. */
	z.object({
		type: z.literal('lend'), budget: z.string(), tokens: z.number().positive(), demanded: z.number().nonnegative(), received: z.number().nonnegative(),
	}),
	/** `total`: all that the sender ever gave to the receiver on this budget. */
	z.object({type: z.literal('hand_back'), budget: z.string(), total: z.number().nonnegative()}),
]);
