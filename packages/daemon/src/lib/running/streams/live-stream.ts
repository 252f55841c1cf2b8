/** The answer of a run as it comes in. Others may follow it from the start. */
export type LiveStream = {
	/** The server-sent events so far, each with its blank line. */
	readonly events: readonly string[];
	readonly isEnded: boolean;
	readonly push: (event: string) => void;
	readonly end: () => void;
	/** Resolves at the next change. */
	readonly changed: () => Promise<void>;
};
