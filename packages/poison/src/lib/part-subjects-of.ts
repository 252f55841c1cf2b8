import {partSubjectOf} from './part-subject-of.js';

/** The most parts of one prompt that are suspected: a bound on messages and memory. */
const maxParts = 32;

/** Returns the subjects of suspicions for the parts of a prompt, given by their ids. Pure. */
export const partSubjectsOf = (ids: readonly string[]): readonly string[] => [...new Set(ids.slice(0, maxParts).map(id => partSubjectOf(id)))];
