import type {Priority} from './priority.js';

/** A request that waits for an endpoint with room. */
export type QueuedRequest = {
	readonly id: number;
	/** The model or service that it asks for. */
	readonly target: string;
	readonly organisation: string;
	readonly weight: number;
	readonly priority: Priority;
	/** Monotonic ms by which it must have started to be of use. */
	readonly startBy: number;
};
