import type {AffinityRequest} from './affinity-request.js';
import {avoidedHallPenaltyMs} from './avoided-hall-penalty-ms.js';

/** The additional cost of an endpoint in another hall, in ms: the network latency, and the price of traffic between halls. */
const otherHallPenaltyMs = 8;

/** Returns the additional cost, in ms, of an endpoint in a hall: 0 for the hall of the host itself. Pure. */
export const hallPenaltyMs = (hall: string, request: Pick<AffinityRequest, 'hall' | 'avoidedHalls'>): number => {
	if (hall === request.hall) {
		return 0;
	}

	return request.avoidedHalls?.includes(hall) ? avoidedHallPenaltyMs : otherHallPenaltyMs;
};
