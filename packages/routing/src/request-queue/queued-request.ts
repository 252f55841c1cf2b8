import type {Priority} from './priority.js';

/** A request that waits for an endpoint with free capacity. */
export type QueuedRequest = {
	/** Rises with each request that asks to enter the queue. */
	readonly id: number;
	/** The model or service that the request asks for. */
	readonly target: string;
	readonly organisation: string;
	/** The organisation's weight in the fair sharing of starts: twice the weight gets twice the requests started. */
	readonly weight: number;
	readonly priority: Priority;
	/** The instant by which the request must have started to be of use, in monotonic ms. */
	readonly startBy: number;
};
