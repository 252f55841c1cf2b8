import type {ServerResponse} from 'node:http';
import type {PoisonDetector} from '@deckwheel/poison';
import type {Bounds} from '../../adapter/bounds.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {Log} from '../../adapter/log.js';
import type {Schedule} from '../../adapter/schedule.js';
import type {ConfigProof} from '../admission/config-proof.js';
import type {BodyRoom} from '../held-bytes/body-room.js';
import type {HeldBytes} from '../held-bytes/held-bytes.js';
import type {OverloadMonitor} from '../own-health/overload-monitor.js';
import type {RetryLimiter} from '../host/retry-limiter.js';
import type {Shutdown} from '../host/shutdown.js';
import type {createEndCheck} from '../response-ends/create-end-check.js';
import type {ConnectionPool} from '../sending/connection-pool.js';
import type {EndpointChooser} from '../choice/endpoint-chooser.js';
import type {EndpointEnds} from '../choice/endpoint-ends.js';
import type {EndpointPaths} from '../endpoint-paths/endpoint-paths.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';
import type {BrittleEndpoints} from '../brittle-endpoints/brittle-endpoints.js';
import type {LoadTracker} from '../load-sharing/load-tracker.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import type {RightsManager} from '../rights/rights-manager.js';
import type {StreamOrigins} from '../stream-origins/stream-origins.js';

/** What the code that serves a request needs of its host. */
export type HostContext = {
	/** The configuration in force; `undefined` until the host has one and knows which halls are evacuated. */
	readonly config: () => FleetConfig | undefined;
	/** How well this host knows that no newer configuration is due. */
	readonly configProof: () => ConfigProof;
	/** Whether this host serves no requests because its configuration is outdated. */
	readonly isConfigOutdated: () => boolean;
	/** Whether the host closes the caller's connection after this response. */
	readonly closesAfter: (res: ServerResponse) => boolean;
	/** Whether the shutdown of this host has begun. */
	readonly isStopping: () => boolean;
	/** Whether a request with this deadline, in monotonic ms, may still be forwarded to an endpoint. Asked right before each attempt. */
	readonly mayForward: (deadline: number) => boolean;
	/** Returns a signal for one request, which is aborted near the end of a shutdown. That counts as the deadline of the request. */
	readonly assignShutdownGroup: Shutdown['assignGroup'];
	/** Describes for the log a request that the shutdown ended: when it came, and why it was taken. */
	readonly cutFields: Shutdown['cutFields'];
	/** Whether this host is so late with its own work that it cannot judge endpoints by the time that they take. */
	readonly isOverloaded: () => boolean;
	/** The rank of a route's priority in the configuration in force: 0 for the most urgent routes, and for all in small halls. */
	readonly rankOf: (priority: number) => number;
	/** Whether this host refuses further requests of a rank to reduce its load; other hosts serve them better. */
	readonly isShedding: OverloadMonitor['isShedding'];
	/** What makes an overloaded host late, for the log. */
	readonly overloadCause: OverloadMonitor['cause'];
	/** Counts a request that is not of the most urgent rank, until its response has ended. */
	readonly noteLessUrgent: (res: ServerResponse) => void;
	/** How long a request waited before this process accepted its connection, in ms. */
	readonly waitedMs: (res: ServerResponse) => number;
	/** Whether this host would know by now if the caller had left long ago (`isCallerSeen`). */
	readonly isCallerSeen: (res: ServerResponse) => boolean;
	/** How long callers wait for their request to be read before they send it elsewhere; `undefined` where that is not known. */
	readonly unreadTimeout: Bounds['unreadTimeout'];
	/** How long callers of streams wait for an event; `undefined` where that is not known. */
	readonly eventTimeout: Bounds['eventTimeout'];
	/** Counts an attempt that reached no endpoint, for the log, by the code or message of its error. */
	readonly countUnsent: (reason: string) => void;
	readonly headerNames: HeaderNames;
	readonly chooser: EndpointChooser;
	readonly endpointEnds: Pick<EndpointEnds, 'noteEnded'>;
	readonly loads: LoadTracker;
	/** Whether endpoints are told how urgent a prompt is. Asked at each attempt. */
	readonly isUrgencySent: () => boolean;
	readonly limits: Pick<EndpointLimits, 'noteResponse' | 'isLimited' | 'acquire'>;
	readonly brittleEndpoints: BrittleEndpoints;
	readonly halls: HallMonitor;
	readonly paths: Pick<EndpointPaths, 'noteAttempt' | 'noteHeard'>;
	readonly poison: PoisonDetector;
	readonly rights: RightsManager;
	readonly pool: ConnectionPool;
	/** The room of this host for bodies of callers' requests. */
	readonly bodyRoom: BodyRoom;
	/** The account of the bytes of responses that this host holds. */
	readonly heldBytes: HeldBytes;
	/** Finds out whether an endpoint itself ended a response of which only the end of its connection tells that it is whole. */
	readonly checkEnd: ReturnType<typeof createEndCheck>;
	readonly retries: RetryLimiter;
	readonly streamOrigins: Pick<StreamOrigins, 'noteSent' | 'noteWhole' | 'findOrigin' | 'findGone' | 'preferredVersion'>;
	readonly schedule: Schedule;
	/** A random number from 0 up to 1. */
	readonly random: () => number;
	readonly log: Log;
	/** The current time in monotonic ms. */
	readonly now: () => number;
};
