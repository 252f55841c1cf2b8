import type {Agent} from 'node:http';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Attempt} from './attempt.js';

/** Keep-alive connections to endpoints. `endpoint` is the id of an endpoint. */
export type ConnectionPool = {
	/**
	Creates the node:http agent for one request to an endpoint. The agent reuses an idle connection or opens a new one; the request gets its
	socket once the connection is up. A request that is not wanted any more by then gets none, and fails before a byte of it is sent.
	*/
	readonly createAgent: (endpoint: ListedEndpoint, attempt: Pick<Attempt, 'isWanted' | 'isCallerSeen' | 'onConnected'>) => Agent;
	/** Whether a connection to an endpoint, not through a peer, has been open since before `time` (monotonic ms), and no response is under way on it. */
	readonly hasQuietSince: (endpoint: string, time: number) => boolean;
	/** Closes the idle connections to an endpoint. */
	readonly closeIdle: (endpoint: string) => void;
	/** Closes the idle connections to all other endpoints than these. */
	readonly keepOnly: (endpoints: ReadonlySet<string>) => void;
};
