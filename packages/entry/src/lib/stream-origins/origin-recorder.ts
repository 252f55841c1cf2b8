import type {KeptOrigin} from './kept-origin.js';

/** Keeps the origins of this host's own streams in the store, with those of its earlier lives. */
export type OriginRecorder = {
	/** Records an origin. Resolves with whether the store has it; at once, with `false`, while the store does not respond. */
	readonly record: (kept: KeptOrigin) => Promise<boolean>;
	/** Whether an origin of the stream is recorded, or is being recorded. */
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
