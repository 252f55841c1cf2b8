import type {Log} from '../../adapter/log.js';
import type {RightsManager} from '../rights/rights-manager.js';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';
import type {ShutdownPlan} from './shutdown-plan.js';

type Options = {
	readonly servers: Pick<Servers, 'closeIdleConnections' | 'stopListening'>;
	readonly rights: Pick<RightsManager, 'retire'>;
	readonly requestCounter: Pick<RequestCounter, 'count' | 'untilNone'>;
	readonly plan: Pick<ShutdownPlan, 'listenUntil' | 'waitForRequestsUntil'>;
	/** Waits until a time, in monotonic ms. */
	readonly waitUntil: (time: number) => Promise<unknown>;
	/** Makes the host refuse every request that is not forwarded yet. */
	readonly stopForwarding: () => void;
	/** Ends the requests that are still open with final responses, and waits for these. */
	readonly endOpenRequests: () => Promise<void>;
	readonly log: Log;
};

/**
Finishes open requests and returns rights to the store, before the process of a host that is shutting down may exit.

`mayForward` decides for each request whether the host still forwards it; the host waits for forwarded requests until
`waitForRequestsUntil`. While the host then returns its last rights, open requests may still end, and new requests are refused.
*/
export const runShutdown = async ({servers, rights, requestCounter, plan, waitUntil, stopForwarding, endOpenRequests, log}: Options): Promise<void> => {
	log('stopping', {open: requestCounter.count()});
	servers.closeIdleConnections();
	await waitUntil(plan.listenUntil);
	servers.stopListening();
	await rights.retire();
	await requestCounter.untilNone(plan.waitForRequestsUntil);
	stopForwarding();
	// The rights that ended requests had reserved are free now, and are returned as well.
	await rights.retire();
	await endOpenRequests();
	log('stopped', {open: requestCounter.count()});
};
