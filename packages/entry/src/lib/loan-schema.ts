import {z} from 'zod';

/**
A lender's reply: who it is, since another life of its host may have been asked, all that it ever gave to the asker on
this budget, and whether it reaches the store. If it does, it lent what there is, and nobody else need be asked.
*/
export const loanSchema = z.object({lender: z.string(), total: z.number().nonnegative(), reachesStore: z.boolean()});
