import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {ScoreEndpoint} from './score-endpoint.js';

/** Prefers the endpoint with the fewest requests of this host in flight. A baseline for comparison; it lets requests queue at endpoints without a bound. */
export const scoreByInFlight: ScoreEndpoint<EndpointRequest> = ({info, inFlight}) => ({
	endpoint: info.id,
	cost: inFlight,
	hasCapacity: true,
	reason: () => `in_flight=${inFlight}`,
});
