/** Bounds on what a caller may send, and on how long it may take. */
export type CallerLimits = {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};
