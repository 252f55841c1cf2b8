import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {EndpointState} from '../endpoints/endpoint-state.js';
import type {ScoredEndpoint} from './scored-endpoint.js';

/** A routing policy: scores one endpoint for one request. `now` is monotonic ms. */
export type ScoreEndpoint<R extends EndpointRequest> = (state: EndpointState, request: R, now: number) => ScoredEndpoint;
