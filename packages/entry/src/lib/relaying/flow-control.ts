/** Decides when the response of an endpoint is read, so that not much of it waits in this process for a slow caller. */
export type FlowControl = {
	/** Stops reading. */
	readonly pause: () => void;
	/** Stops reading until the caller's connection takes more. */
	readonly pauseUntilDrain: () => void;
	/** Reads on, unless the caller's connection takes no more for now. */
	readonly resume: () => void;
	/** Reads all that is left from now on, however slowly the caller reads. */
	readonly release: () => void;
};
