/** The heap of a process. */
export type Heap = {
	/** What it holds now, with what no collection has freed yet, and the limit beyond which V8 ends the process, both in bytes. */
	readonly use: () => {readonly usedBytes: number; readonly limitBytes: number};
	/** Calls `callback` right after each full collection. Returns a function that ends this. */
	readonly onCollected: (callback: () => void) => () => void;
};
