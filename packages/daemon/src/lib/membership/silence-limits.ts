/** Heartbeats missed before a host counts as gone. */
const missedBeforeGone = 5;

/** Heartbeats that a host may miss before nothing new is planned with it. */
const missedBeforeDoubt = 2.5;

/** Heartbeats that a host may miss before it is taken to have lost its memory. */
const missedBeforeLost = 8;

/** A host is not taken for gone before this silence, in ms, however fast heartbeats are. */
const leastSilenceMs = 1500;

/** Nor for lost before this one, in ms. */
const leastLostMs = 5000;

/** After how much silence a host is judged, in ms. */
type Limits = {
	/** It is no longer counted as live. */
	readonly doubtMs: number;
	/** It counts as gone: pairs go on without it. */
	readonly goneMs: number;
	/** It is taken to have lost what it knew. */
	readonly lostMs: number;
};

/**
Decides how long a host may be silent. Pure.

@param intervalMs Between two heartbeats with that host.
*/
export const silenceLimits = (intervalMs: number): Limits => ({
	doubtMs: Math.max(leastSilenceMs, missedBeforeDoubt * intervalMs),
	goneMs: Math.max(leastSilenceMs, missedBeforeGone * intervalMs),
	lostMs: Math.max(leastLostMs, missedBeforeLost * intervalMs),
});
