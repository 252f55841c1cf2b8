import type {z} from 'zod';
import type {permitQuestionSchema} from './permit-question-schema.js';

/** Asks a coordinator for a permit for one request. */
export type PermitQuestion = Readonly<Omit<z.infer<typeof permitQuestionSchema>, 'type'>>;
