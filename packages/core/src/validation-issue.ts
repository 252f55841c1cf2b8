/** One fault in a document. */
export type ValidationIssue = {
	/** Names of the properties from the root of the document to the fault, joined by dots. */
	readonly path: string;
	readonly message: string;
};
