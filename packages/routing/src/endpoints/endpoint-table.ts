import type {EndpointState} from './endpoint-state.js';

/** The endpoints that a host knows, by identifier: the listed ones, and unlisted ones that `stepEndpoints` still retains. */
export type EndpointTable = ReadonlyMap<string, EndpointState>;
