import type {LimitedEndpoint} from './limited-endpoint.js';
import type {ToldLimit} from './told-limit.js';

/** What this host knows of the limits of endpoints. */
export type LimitTable = {
	/** The limit that holds now, in requests a second; `undefined` where there is none. */
	readonly perSecond: (endpoint: string) => number | undefined;
	/** Takes in what an answer of the endpoint said; `true` where that changed the limit. `sentAt`: when the request was sent, in monotonic ms. */
	readonly noteAnswer: (endpoint: LimitedEndpoint, perSecond: number | undefined, sentAt: number) => boolean;
	/** Takes in what a peer told; `true` where that changed the limit. */
	readonly noteTold: (told: ToldLimit) => boolean;
	/** An endpoint's limit as it is told to peers. */
	readonly tell: (endpoint: LimitedEndpoint) => ToldLimit;
	/** All that hold now, as they are told to peers; the last used first. */
	readonly tellAll: () => readonly ToldLimit[];
};
