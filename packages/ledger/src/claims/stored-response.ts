/** A complete response to a request, recorded in its claim so that a retry gets the same response. */
export type StoredResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};
