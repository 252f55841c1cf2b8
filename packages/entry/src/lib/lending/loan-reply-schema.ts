import {z} from 'zod';

/**
A lender's reply: who it is, since another life of its host may have been asked, all that it ever gave to the asker on
this budget, and whether it draws for the asker and reaches the store. If so, it lent what there is, and the asker need not draw.
Where it keeps what is left for more urgent requests, the asker asks nobody else.
*/
export const loanReplySchema = z.object({
	lender: z.string(), total: z.number().nonnegative(), reachesStore: z.boolean(), isKept: z.boolean().optional(),
});
