import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {RateEndpoint} from './rate-endpoint.js';

/** Round robin: whoever had the fewest requests is next. A baseline; it lets endpoints queue without bound. */
export const rateByTurn: RateEndpoint<EndpointRequest> = ({info, started}) => ({
	endpoint: info.id,
	cost: started,
	hasRoom: true,
	reason: () => `turn=${started}`,
});
