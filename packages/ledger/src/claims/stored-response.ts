/** A whole answer, kept so that a retry gets the same one. */
export type StoredResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};
