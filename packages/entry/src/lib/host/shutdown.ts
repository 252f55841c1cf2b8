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
	/** Is aborted when the requests that are still open are to end with final responses. */
	readonly signal: AbortSignal;
	/** Fields for the log line of a request that came at `receivedAt`, in monotonic ms, and got no whole response; empty before `signal` is aborted. */
	readonly cutFields: (receivedAt: number) => Partial<CutFields>;
	/**
	Makes the plan and executes it. To be called once.

	@param sentAfter The earliest instant at which the signal to stop may have been sent, in monotonic ms.
	*/
	readonly execute: (stopped: Stopped, sentAfter: number) => Promise<void>;
};
