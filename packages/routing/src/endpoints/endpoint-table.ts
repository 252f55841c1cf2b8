import type {EndpointState} from './endpoint-state.js';

/** All endpoints that the bundle in force names, by identifier. */
export type EndpointTable = ReadonlyMap<string, EndpointState>;
