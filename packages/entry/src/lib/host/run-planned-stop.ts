import type {Log} from '../../adapter/log.js';
import type {RightsKeeper} from '../rights/rights-keeper.js';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';

/** After the signal to stop, new connections may still come for as long as the balancer takes to notice, in ms. Chosen without a measurement. */
const lingerMs = 3000;

/** Left of the time to stop for giving rights back, in ms. Chosen without a measurement. */
const giveBackMs = 1000;

type Options = {
	readonly servers: Pick<Servers, 'closeIdleConnections' | 'stopListening'>;
	readonly rights: Pick<RightsKeeper, 'retire'>;
	readonly open: Pick<RequestCounter, 'count' | 'untilNone'>;
	/** Monotonic ms at which the process is killed. */
	readonly deadline: number;
	/** Waits for so many ms. */
	readonly sleep: (ms: number) => Promise<unknown>;
	readonly log: Log;
};

/**
Finishes what runs and gives rights back, before the process of a host that is no longer ready may end.

No request is taken after the linger. Later ones may not end in time: one that came while rights went back, or when the time for
open streams was over, would be read, sent to an endpoint, and end with the process.
*/
export const runPlannedStop = async ({servers, rights, open, deadline, sleep, log}: Options): Promise<void> => {
	const endBy = deadline - giveBackMs;
	log('stopping', {open: open.count()});
	servers.closeIdleConnections();
	await sleep(lingerMs);
	servers.stopListening();
	await rights.retire();
	await open.untilNone(endBy);
	// What open requests had reserved is free now, and goes back as well.
	await rights.retire();
	log('stopped', {open: open.count()});
};
