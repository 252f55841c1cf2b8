import type {EndpointInfo} from './endpoint-info.js';
import type {LoadReport} from './load-report.js';

/** What this host knows and believes of one endpoint. */
export type EndpointState = {
	/** As it was listed; `isLeaving` by its own word as well. */
	readonly info: EndpointInfo;
	/** Whether it is listed; one that is not stays known while requests of this host are open there, or what it said holds on. */
	readonly isListed: boolean;
	/** When it was last listed, in monotonic ms. */
	readonly listedAt: number;
	/** Whether it said itself that it leaves. A list may be older than its word, so none takes this back; its next life has another identifier. */
	readonly hasAnnouncedLeaving: boolean;
	/** Monotonic ms until which it wants no request of this host; 0 when it never asked for rest. */
	readonly backoffUntil: number;
	/** Monotonic ms until which the permits of its limit on requests are used up for this host; 0 when they never were. */
	readonly rateLimitedUntil: number;
	/** This host's own open requests there: the one figure that does not lag. */
	readonly inFlight: number;
	/** Requests that this host ever sent there. */
	readonly startedCount: number;
	/** When this host last sent a request there, or first knew of the endpoint, in monotonic ms. */
	readonly lastStartedAt: number;
	readonly report?: LoadReport;
	/** Smoothed time a request takes there, in ms. */
	readonly serviceMs: number;
	/** Smoothed time from one token to the next, in ms. */
	readonly msPerToken: number;
	/** Failures since the last success. */
	readonly failures: number;
	/** Monotonic ms until which nothing new is sent; 0 when it is in good standing. */
	readonly ejectedUntil: number;
};
