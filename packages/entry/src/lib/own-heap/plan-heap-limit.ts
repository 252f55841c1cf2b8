type Inputs = {
	/** What the heap still held after its last full collection, in bytes. */
	readonly liveBytes: number;
	/** The most that it may hold then, in bytes. */
	readonly maxLiveBytes: number;
	/** The number of requests that are open now. */
	readonly open: number;
	/** The least limit. */
	readonly minOpen: number;
};

/** Plans the most requests that a host keeps open, so that their share of its heap has room; `undefined` where there is room for more than are open. Pure. */
export const planHeapLimit = ({liveBytes, maxLiveBytes, open, minOpen}: Inputs): number | undefined =>
	liveBytes > maxLiveBytes ? Math.max(minOpen, Math.floor(open * maxLiveBytes / liveBytes)) : undefined;
