import type {RightsManager} from '../rights/rights-manager.js';
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
	/** Makes the plan and executes it. To be called once. */
	readonly execute: (stopped: Stopped) => Promise<void>;
};
