import type {ServerResponse} from 'node:http';
import type {PoisonDetector} from '@deckwheel/poison';
import type {Bounds} from '../../adapter/bounds.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Log} from '../../adapter/log.js';
import type {Schedule} from '../../adapter/schedule.js';
import type {RetryLimiter} from '../host/retry-limiter.js';
import type {ConnectionPool} from '../sending/connection-pool.js';
import type {EndpointChooser} from '../choice/endpoint-chooser.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import type {RightsManager} from '../rights/rights-manager.js';

/** What serving a request needs of the host. */
export type HostContext = {
	readonly config: () => FleetConfig | undefined;
	/** Whether a caller's connection is closed after this answer. */
	readonly closesAfter: (res: ServerResponse) => boolean;
	/** Whether this host was told to stop. */
	readonly isStopping: () => boolean;
	/** Whether a request may still be sent to an endpoint, by its deadline in monotonic ms. Asked right before each sending. */
	readonly mayForward: (deadline: number) => boolean;
	/** Aborted shortly before a stop ends: the deadline of all that are open. */
	readonly shutdownSignal: AbortSignal;
	/** Whether this host is too late with its own work to judge others by the time that they take. */
	readonly isOverloaded: () => boolean;
	/** Whether one more request is better served by another host. */
	readonly isShedding: () => boolean;
	/** How long a request waited with its connection before this process took that, in ms. */
	readonly waitedMs: (res: ServerResponse) => number;
	/** Notes how long an endpoint took to accept a connection, in ms. */
	readonly noteConnect: (endpoint: ListedEndpoint, tookMs: number) => void;
	readonly unreadTimeout: Bounds['unreadTimeout'];
	readonly headerNames: HeaderNames;
	readonly chooser: EndpointChooser;
	readonly limits: Pick<EndpointLimits, 'noteAnswer' | 'isLimited' | 'acquire'>;
	readonly halls: HallMonitor;
	readonly poison: PoisonDetector;
	readonly rights: RightsManager;
	readonly pool: ConnectionPool;
	readonly retries: RetryLimiter;
	/** For an endpoint to accept a connection, in ms. */
	readonly connectMs: number;
	readonly schedule: Schedule;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};
