import type {RouteKind} from '../../config/route-kind.js';
import type {RightsManager} from '../rights/rights-manager.js';
import type {CutFields} from '../shutdown/cut-fields.js';
import type {Servers} from './servers.js';
import type {ShutdownPlan} from './shutdown-plan.js';

/** What a shutdown stops. */
type Stopped = {
	readonly servers: Pick<Servers, 'closeIdleConnections' | 'stopListening'>;
	readonly rights: Pick<RightsManager, 'retire'>;
};

/** The planned shutdown of a host. */
export type Shutdown = {
	/** The plan; `undefined` while the host is not shutting down. */
	readonly plan: () => ShutdownPlan | undefined;
	/** Returns a signal for one request on a route of a kind, which is aborted when the request is to end with a final response. */
	readonly assignGroup: (kind: RouteKind) => AbortSignal;
	/** Fields for the log line of a request that the shutdown ended and that came at `receivedAt`, in monotonic ms. */
	readonly cutFields: (receivedAt: number) => Partial<CutFields>;
	/**
	Makes the plan and executes it. To be called once.

	@param sentAfter The earliest instant at which the signal to stop may have been sent, in monotonic ms.
	*/
	readonly execute: (stopped: Stopped, sentAfter: number) => Promise<void>;
};
