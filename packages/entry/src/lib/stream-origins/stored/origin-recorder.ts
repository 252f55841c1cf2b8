import type {KeptOrigin} from '../kept-origin.js';

/** Keeps the origins of this host's own streams in the store, with those of its earlier lives. */
export type OriginRecorder = {
	/** Adds an origin to what the next write holds, unless one of a later attempt is there. */
	readonly keep: (kept: KeptOrigin) => void;
	/** Writes what is kept. Resolves with whether the store has it; at once, with `false`, while the store does not respond. */
	readonly write: () => Promise<boolean>;
	/** Takes an origin back that the store need not have, unless one of a later attempt is there. */
	readonly drop: (kept: KeptOrigin) => void;
	/** Whether an origin of the stream is kept. */
	readonly has: (key: string) => boolean;
	/** Notes that nobody takes the stream up. */
	readonly end: (key: string) => void;
	/** Whether the last write failed. */
	readonly isAway: () => boolean;
	/** Notes that the store was restored from an older copy: what is kept is written again. */
	readonly noteRestored: () => void;
	/** Writes no more. */
	readonly close: () => void;
};
