/** Where one stream began, as a host keeps it in the store. */
export type StoredOrigin = {
	/** The key of the stream (`streamKeyOf`). */
	readonly key: string;
	readonly service: string;
	readonly version: string;
	/** Counts the attempts of the request; a later one replaces an earlier one. */
	readonly attempt: number;
	/** For how long the stream could be taken up, from the write on, in ms. */
	readonly keepMs: number;
};
