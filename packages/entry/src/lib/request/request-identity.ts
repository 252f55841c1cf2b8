/** What stays the same when a caller sends a request again, to whichever host. */
export type RequestIdentity = {
	readonly method: string;
	/** The host name that the caller asked for. */
	readonly host: string;
	/** With its query. */
	readonly path: string;
	/** The organisation; `undefined` on routes that ask for no key. */
	readonly caller: string | undefined;
	readonly body: Uint8Array;
};
