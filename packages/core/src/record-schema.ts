import {z} from 'zod';
import {isRecord} from './is-record.js';

/**
The schema of a record whose keys are names from outside. Unlike `z.record`, which leaves out an entry named `__proto__`, it keeps every entry: a writer of the
store that reads and writes such a record must not drop one.
*/
export const recordSchema = <T>(valueSchema: z.ZodType<T>): z.ZodType<Readonly<Record<string, T>>> =>
	z.preprocess(value => isRecord(value) ? new Map(Object.entries(value)) : value, z.map(z.string(), valueSchema))
		.transform(entries => Object.fromEntries(entries));
