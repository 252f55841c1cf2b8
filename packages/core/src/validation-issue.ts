/** One fault in a document: where it is and what is wrong. */
export type ValidationIssue = {
	readonly path: string;
	readonly message: string;
};
