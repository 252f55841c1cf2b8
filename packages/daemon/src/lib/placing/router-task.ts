import type {Bundle} from '@deckwheel/bundle';
import type {Result, Refusal} from '@deckwheel/core';
import type {EndpointTable} from '@deckwheel/routing';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';

/** The task that knows the endpoints and lets requests wait for them. */
export type RouterTask = {
	readonly configure: (bundle: Bundle) => void;
	/** Waits for a place. A request that cannot start in time is refused at once. */
	readonly place: (request: PlaceRequest) => Promise<Result<Place, Refusal>>;
	/** Whether the retry budget allows one more retry. */
	readonly mayRetry: () => boolean;
	readonly urlOf: (endpoint: string) => string | undefined;
	readonly table: () => EndpointTable;
	readonly stop: () => Promise<void>;
};
