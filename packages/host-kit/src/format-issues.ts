import {formatIssue, type ValidationIssue} from '@deckwheel/core';

/** Returns the text of all faults of a document, for one line of the log. Pure. */
export const formatIssues = (issues: readonly ValidationIssue[]): string => issues.map(issue => formatIssue(issue)).join('; ');
