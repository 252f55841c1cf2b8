import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {ScoreEndpoint} from './score-endpoint.js';

/** Least in flight: whoever has the fewest open requests of this host. A baseline; it lets endpoints queue without bound. */
export const scoreByInFlight: ScoreEndpoint<EndpointRequest> = ({info, inFlight}) => ({
	endpoint: info.id,
	cost: inFlight,
	hasCapacity: true,
	reason: () => `in_flight=${inFlight}`,
});
