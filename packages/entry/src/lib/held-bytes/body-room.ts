import type {Hold} from './create-hold.js';

/** The room that a host has for bodies of callers' requests. Each is held until its request has ended, since it may be sent again. */
export type BodyRoom = {
	/** Begins to hold the body of one request, of which nothing is held yet. */
	readonly hold: () => Hold;
	/** The most bytes of large bodies that may be held at once, other than of one alone. */
	readonly maxLargeBytes: number;
};
