import {z} from 'zod';

/** The most numbers of one list of a load message: the counts of 5,000 endpoints. */
const maxNumbers = 15_000;

/** A flat list of the numbers of several entries. Entries with numbers that cannot be true are left out by who reads them. */
export const loadNumberListSchema = z.array(z.number()).max(maxNumbers);
