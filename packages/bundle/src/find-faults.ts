import type {z} from 'zod';
import type {Fault} from './fault.js';

/** All faults that a schema found, each named by its path. */
export const findFaults = (error: z.ZodError): readonly Fault[] =>
	error.issues.map(({path, message}) => ({path: path.length === 0 ? '(document)' : path.join('.'), message}));
