import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {EndpointState} from '../endpoints/endpoint-state.js';
import type {RatedEndpoint} from './rated-endpoint.js';

/** A policy of routing: rates one endpoint for one request. `now` is monotonic ms. */
export type RateEndpoint<R extends EndpointRequest> = (state: EndpointState, request: R, now: number) => RatedEndpoint;
