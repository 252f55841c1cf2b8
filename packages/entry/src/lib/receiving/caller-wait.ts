/** Follows whether a relayed response waits for its caller to read. */
export type CallerWait = {
	/** The relay has stopped to read from the endpoint until the caller has read more. */
	readonly notePaused: () => void;
	/** The caller has read what waited for it. */
	readonly noteDrained: () => void;
	/** Whether the response has waited since this was called last, and its caller still reads. */
	readonly takeWaited: () => boolean;
};
