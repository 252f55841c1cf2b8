import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {ScoreEndpoint} from './score-endpoint.js';

/** Round robin: whoever had the fewest requests is next. A baseline; it lets endpoints queue without bound. */
export const scoreByRoundRobin: ScoreEndpoint<EndpointRequest> = ({info, startedCount}) => ({
	endpoint: info.id,
	cost: startedCount,
	hasCapacity: true,
	reason: () => `turn=${startedCount}`,
});
