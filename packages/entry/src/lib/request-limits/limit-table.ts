import type {LimitedEndpoint} from './limited-endpoint.js';
import type {LimitReport} from './limit-report.js';

/** The limits of endpoints that a host knows. */
export type LimitTable = {
	/** An endpoint's current limit, in requests a second of all hosts together; `undefined` when there is none. */
	readonly perSecond: (endpoint: string) => number | undefined;
	/** Records the limit that a response of the endpoint named; returns whether the limit changed. `askedAt`: when the request was sent, in monotonic ms. */
	readonly applyResponse: (endpoint: LimitedEndpoint, perSecond: number | undefined, askedAt: number) => boolean;
	/** Records a limit that a peer reported; returns whether the limit changed. */
	readonly applyReport: (report: LimitReport) => boolean;
	/** An endpoint's limit as it is reported to peers. The table must hold the endpoint. */
	readonly report: (endpoint: LimitedEndpoint) => LimitReport;
	/** All current limits as they are reported to peers, the most recently used first; 500 at most. */
	readonly reportAll: () => readonly LimitReport[];
};
