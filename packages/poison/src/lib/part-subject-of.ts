import {digestName} from '@deckwheel/core';
import {partPrefix} from './part-prefix.js';

/** The longest id that stands in the subject as it is; longer ones are hashed, since messages bound the length of a subject. */
const maxIdLength = 48;

/** Returns the subject of suspicions for a part of prompts. Pure. */
export const partSubjectOf = (id: string): string =>
	partPrefix + (id.length <= maxIdLength ? id : digestName(id));
