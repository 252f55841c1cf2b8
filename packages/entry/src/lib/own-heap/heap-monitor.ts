/** Tells whether the open requests of this host fill its heap. */
export type HeapMonitor = {
	/** Whether more requests are open than the heap has room for. */
	readonly isFull: () => boolean;
	readonly close: () => void;
};
