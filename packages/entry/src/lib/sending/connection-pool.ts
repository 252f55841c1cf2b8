import type {Agent} from 'node:http';

/** Keep-alive connections to endpoints. `endpoint` is the id of an endpoint, `address` an `ip:port`. */
export type ConnectionPool = {
	/** Creates the node:http agent for one request to an endpoint. The agent reuses an idle connection or opens a new one. */
	readonly createAgent: (endpoint: string, address: string) => Agent;
	/** Closes the idle connections to an endpoint. */
	readonly closeIdle: (endpoint: string) => void;
	/** Closes the idle connections to all other endpoints than these. */
	readonly keepOnly: (endpoints: ReadonlySet<string>) => void;
};
