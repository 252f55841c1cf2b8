import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {RateEndpoint} from './rate-endpoint.js';

/** Least in flight: whoever has the fewest open requests of this host. A baseline; it lets endpoints queue without bound. */
export const rateByInFlight: RateEndpoint<EndpointRequest> = ({info, inFlight}) => ({
	endpoint: info.id,
	cost: inFlight,
	hasRoom: true,
	reason: () => `in_flight=${inFlight}`,
});
