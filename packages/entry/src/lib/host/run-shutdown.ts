import type {Log} from '../../adapter/log.js';
import type {RightsManager} from '../rights/rights-manager.js';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';
import type {ShutdownPlan} from './shutdown-plan.js';

type Options = {
	readonly servers: Pick<Servers, 'closeIdleConnections' | 'stopListening'>;
	readonly rights: Pick<RightsManager, 'retire'>;
	readonly open: Pick<RequestCounter, 'count' | 'untilNone'>;
	readonly plan: Pick<ShutdownPlan, 'listenUntil' | 'endBy'>;
	/** Waits until a monotonic time, in ms. */
	readonly waitUntil: (time: number) => Promise<unknown>;
	/** Sends no request on any more. */
	readonly sendNoMore: () => void;
	/** Gives the requests that are still open their final answers. */
	readonly endRequests: () => Promise<void>;
	readonly log: Log;
};

/**
Finishes what runs and gives rights back, before the process of a host that is no longer ready may end.

Which requests are still sent on meanwhile is decided for each of them (`mayForward`). What is sent on is waited for. While the last
rights go back, what is open may still end, and a request that comes is refused.
*/
export const runShutdown = async ({servers, rights, open, plan, waitUntil, sendNoMore, endRequests, log}: Options): Promise<void> => {
	log('stopping', {open: open.count()});
	servers.closeIdleConnections();
	await waitUntil(plan.listenUntil);
	servers.stopListening();
	await rights.retire();
	await open.untilNone(plan.endBy);
	sendNoMore();
	// What open requests had reserved is free now, and goes back as well.
	await rights.retire();
	await endRequests();
	log('stopped', {open: open.count()});
};
