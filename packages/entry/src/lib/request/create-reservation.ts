import type {AdmittedRequest} from '../admission/admitted-request.js';
import {hostRefusals} from '../admission/host-refusals.js';
import type {HostContext} from './host-context.js';
import type {Reservation} from './reservation.js';

/**
The part of the route's goal for a first byte that a request may wait for rights. After it, a refusal still leaves the
caller time to come back.
*/
const rightsWaitShare = 0.2;

/** Creates the reservation of one request. Without a budget, everything is granted and nothing is counted. */
export const createReservation = (budget: string | undefined, {route, deadline}: AdmittedRequest, {rights, now}: Pick<HostContext, 'rights' | 'now'>): Reservation => {
	let reserved = 0;
	return {
		async reserve(tokens, isFirstRun) {
			if (budget === undefined) {
				return undefined;
			}

			const until = Math.min(now() + (route.goalMs * rightsWaitShare), deadline);
			const outcome = await rights.reserve(budget, tokens, until, isFirstRun ? route.priority : undefined);
			if (outcome === 'reserved') {
				reserved += tokens;
				return undefined;
			}

			if (outcome === 'kept') {
				return hostRefusals.budgetKept;
			}

			return outcome === 'exhausted' ? hostRefusals.budgetExhausted : {...hostRefusals.rightsUnavailable, retryAfterSeconds: rights.retryAfterSeconds()};
		},
		reserved: () => reserved,
		settle(charged) {
			if (budget !== undefined) {
				rights.settle(budget, reserved, charged);
			}
		},
	};
};
