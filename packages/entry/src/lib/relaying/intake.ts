/** Takes in what an endpoint writes, and holds it back until it may be relayed. */
export type Intake = {
	/** Relays bytes, once what came before them is relayed. */
	readonly take: (chunk: Uint8Array) => void;
	/** Runs a task after all that was taken in is relayed; at once where nothing was held back. */
	readonly afterAll: (task: () => void) => void;
};
