import type {AdoptedBundle} from '@deckwheel/bundle';
import type {Caller} from './caller.js';
import type {RequestOptions} from './reading/request-options.js';

/** A request that was let in. */
export type Visit = {
	readonly adopted: AdoptedBundle;
	readonly caller: Caller;
	readonly options: RequestOptions;
	readonly body: string;
	/** As `isWanted` of `Job`. */
	readonly isWanted: () => boolean;
};
