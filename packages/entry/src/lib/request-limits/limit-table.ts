import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitReport} from './limit-report.js';

/** What this host knows of the limits of endpoints. */
export type LimitTable = {
	/** The limit that holds now, in requests a second; `undefined` where there is none. */
	readonly perSecond: (endpoint: string) => number | undefined;
	/** Takes in what an answer of the endpoint said; `true` where that changed the limit. `askedAt`: when the request was sent, in monotonic ms. */
	readonly applyAnswer: (endpoint: LimitedEndpoint, perSecond: number | undefined, askedAt: number) => boolean;
	/** Takes in what a peer reported; `true` where that changed the limit. */
	readonly applyReport: (report: LimitReport) => boolean;
	/** An endpoint's limit as it is reported to peers. */
	readonly report: (endpoint: LimitedEndpoint) => LimitReport;
	/** All that hold now, as they are reported to peers; the last used first. */
	readonly reportAll: () => readonly LimitReport[];
};
