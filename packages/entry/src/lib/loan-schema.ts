import {z} from 'zod';

/** A lender's reply: who it is, since another life of its host may have been asked, and all that it ever gave to the asker on this budget. */
export const loanSchema = z.object({lender: z.string(), total: z.number().nonnegative()});
