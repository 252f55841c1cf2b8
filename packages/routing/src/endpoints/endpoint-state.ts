import type {EndpointInfo} from './endpoint-info.js';
import type {LoadReport} from './load-report.js';

/** What this host knows and believes of one endpoint. */
export type EndpointState = {
	readonly info: EndpointInfo;
	/** Whether it is listed; one that is not stays known while requests of this host are open there. */
	readonly isListed: boolean;
	/** This host's own open requests there: the one figure that does not lag. */
	readonly inFlight: number;
	/** Requests that this host ever sent there. */
	readonly started: number;
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
