import type {Agent} from 'node:http';

/** Kept connections to endpoints. */
export type ConnectionPool = {
	/** An agent for one request to an endpoint. It takes a kept connection or opens a new one. */
	readonly agentFor: (endpoint: string, address: string) => Agent;
	/** Closes the idle connections to an endpoint. */
	readonly closeIdle: (endpoint: string) => void;
	/** Closes idle connections to endpoints that are not among these. */
	readonly keepOnly: (endpoints: ReadonlySet<string>) => void;
};
