/** How far this process has read its sockets. */
export type ReadProgress = {
	/** Notes that a repeated timer of this process fires. */
	readonly noteTimer: () => void;
	/** The time in monotonic ms up to which everything has been read that arrived at accepted connections. */
	readonly readUpTo: () => number;
};
