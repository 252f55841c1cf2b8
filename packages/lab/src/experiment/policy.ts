import type {Arrival} from './arrival.js';

/** A way to decide who may spend which tokens. */
export type Policy = {
	/** Whether the request is let in. */
	readonly open: (arrival: Arrival) => boolean;
	readonly close: (arrival: Arrival) => void;
	/** Called once a second. */
	readonly tick: () => void;
	/** Called when a host dies. */
	readonly die: (hall: string, host: number) => void;
	/** Tokens that nobody can spend any more. */
	readonly stranded: () => number;
};
