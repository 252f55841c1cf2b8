/** Asks for the claim of one request. Changes nothing. */
export type LookupRequest = {
	readonly type: 'lookup';
	readonly budget: string;
	readonly key: string;
};
