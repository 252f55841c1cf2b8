import type {RequestSubjects} from '../request-subjects.js';
import {partSubjectsOf} from './part-subjects-of.js';

/** Returns the subjects of suspicions under which a request counts: its fingerprint, and its parts. */
export const subjectsOf = ({fingerprint, parts}: RequestSubjects): readonly string[] => [fingerprint(), ...partSubjectsOf(parts)];
