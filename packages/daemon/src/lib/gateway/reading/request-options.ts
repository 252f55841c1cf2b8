import type {Priority} from '@deckwheel/routing';
import type {RequestKey} from '../request-key.js';

/** What a caller's headers say of a request. */
export type RequestOptions = {
	readonly key: RequestKey;
	readonly isKeyPresented: boolean;
	/** Wall-clock ms. */
	readonly deadline: number;
	readonly monotonicDeadline: number;
	readonly priority: Priority;
	readonly session?: string;
	readonly isNotRepeatable: boolean;
	/** Whether the caller has got events of an earlier attempt's stream, after which it takes the stream up. */
	readonly hasEvents: boolean;
};
