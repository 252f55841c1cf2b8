import type {ValidationIssue} from './validation-issue.js';

/** What a zod error tells, as far as it is read here. */
type SchemaError = {
	readonly issues: ReadonlyArray<{readonly path: readonly PropertyKey[]; readonly message: string}>;
};

/** All faults that a schema found, each named by its path. */
export const findValidationIssues = ({issues}: SchemaError): readonly ValidationIssue[] =>
	issues.map(({path, message}) => ({path: path.length === 0 ? '(document)' : path.join('.'), message}));
