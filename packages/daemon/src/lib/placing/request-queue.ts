import type {Result, Refusal} from '@deckwheel/core';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';

/** The requests of this host that wait for an endpoint. */
export type RequestQueue = {
	/** Lets a request wait, or refuses it at once. */
	readonly wait: (request: PlaceRequest, maxQueued: number) => Promise<Result<Place, Refusal>>;
	/** Whether somebody waits who goes before this request. */
	readonly isAhead: (request: PlaceRequest) => boolean;
	/** Starts whoever may start, and refuses whoever will not start in time. */
	readonly pump: () => void;
	readonly length: () => number;
	/** Refuses all that wait. */
	readonly turnAllAway: () => void;
};
