import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {ScoreEndpoint} from './score-endpoint.js';

/** Round robin: prefers the endpoint that this host has sent the fewest requests to. A baseline for comparison; it lets requests queue at endpoints without a bound. */
export const scoreByRoundRobin: ScoreEndpoint<EndpointRequest> = ({info, startedCount}) => ({
	endpoint: info.id,
	cost: startedCount,
	hasCapacity: true,
	reason: () => `turn=${startedCount}`,
});
