import type {Result} from '@deckwheel/core';

/** What came of asking one of the configuration's hosts. */
export type HostAnswer<T> = {
	/** The host's URL in the configuration. */
	readonly url: string;
	readonly answer: Result<T, string>;
};
