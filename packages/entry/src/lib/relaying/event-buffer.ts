/** The bytes of an event whose end has not come. */
export type EventBuffer = {
	/** All bytes, valid until the next call that changes them. */
	readonly bytes: () => Uint8Array;
	/** Appends a copy of bytes, at a cost that grows only with their number. */
	readonly append: (bytes: Uint8Array) => void;
	/** Lets go of all bytes. */
	readonly clear: () => void;
};
