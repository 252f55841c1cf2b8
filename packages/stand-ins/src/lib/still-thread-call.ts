/** What a caller does while the thread of the test stands still. */
export type StillThreadCall = {
	/** Where it connects to, as `ip:port`. */
	readonly address: string;
	readonly bytes: string;
	/** Whether its connection is up before the thread of the test stands still. */
	readonly isConnectedBefore: boolean;
	/** Becomes 1 once the caller has sent its bytes and the end of its connection. */
	readonly hasLeft: Int32Array;
};
