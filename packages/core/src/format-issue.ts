import type {ValidationIssue} from './validation-issue.js';

/** Returns the text of a fault, for logs and operators. Pure. */
export const formatIssue = ({path, message}: ValidationIssue): string => `${path}: ${message}`;
