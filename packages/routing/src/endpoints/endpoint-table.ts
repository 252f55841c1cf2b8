import type {EndpointState} from './endpoint-state.js';

/** All endpoints that are listed, and those at which requests of this host are still open, by identifier. */
export type EndpointTable = ReadonlyMap<string, EndpointState>;
