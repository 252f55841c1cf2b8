/** The account of the bytes of messages that a host holds before it can pass them on: responses of endpoints, and bodies of callers' requests. */
export type HeldBytes = {
	/** Holds bytes as well; `false`, and nothing changes, where the bound of the host has no room for them. Holding none is always possible. */
	readonly tryHold: (bytes: number) => boolean;
	/** Gives back bytes that `tryHold` granted. */
	readonly release: (bytes: number) => void;
	/** The bytes that are held now. */
	readonly heldBytes: () => number;
	/** The most bytes that may be held at once. */
	readonly maxBytes: number;
};
