import type {EndpointState} from './endpoint-state.js';
import type {RatedEndpoint} from './rated-endpoint.js';
import type {RouteRequest} from './route-request.js';

/** A policy of routing: rates one endpoint for one request. `now` is monotonic ms. */
export type RateEndpoint = (state: EndpointState, request: RouteRequest, now: number) => RatedEndpoint;
