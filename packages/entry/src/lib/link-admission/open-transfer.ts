/** An admitted request whose bytes the link of this host carries. */
export type OpenTransfer = {
	/** Corrects the expected size of the body, in bytes, once the body was read. */
	readonly noteBody: (bytes: number) => void;
	/** Corrects the expected size of the response, in bytes, once it has ended. Later calls have no effect. */
	readonly end: (responseBytes: number) => void;
};
