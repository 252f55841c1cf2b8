import type {ValidationIssue} from './validation-issue.js';

/** The part of a zod error that `findValidationIssues` reads. */
type SchemaError = {
	readonly issues: ReadonlyArray<{readonly path: readonly PropertyKey[]; readonly message: string}>;
};

/** Converts a zod error to a list of all its validation issues. The path of an issue with the whole document is `(document)`. */
export const findValidationIssues = ({issues}: SchemaError): readonly ValidationIssue[] =>
	issues.map(({path, message}) => ({path: path.length === 0 ? '(document)' : path.join('.'), message}));
