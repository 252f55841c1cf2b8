import {z} from 'zod';

/**
A lender's reply to a loan request.

- `lender`: the lender's name as a holder of rights. It may differ from the name that was asked, if the lender's host restarted.
- `total`: all that the lender ever gave to the borrower on this budget, in tokens.
- `reachesStore`: whether the lender draws rights for the borrower and reaches the store. If so, it lent what there is, and the borrower need not draw.
- `isKept`: whether the lender keeps what is left of the budget for more urgent or for later requests. If so, the borrower asks no other peer.
- `left`: the most that can be left of the budget, in tokens, by a record of the store that is `ageMs` old, with the limit of this configuration.
Without it the borrower does not know, and refuses no request for good.
*/
export const loanReplySchema = z.object({
	lender: z.string(), total: z.number().nonnegative(), reachesStore: z.boolean(), isKept: z.boolean().optional(),
	left: z.object({tokens: z.number().nonnegative(), ageMs: z.number().nonnegative(), version: z.number()}).optional(),
});
