import type {AdmittedRequest} from '../admission/admitted-request.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {refuseForRights} from '../admission/refuse-for-rights.js';
import type {HostContext} from './host-context.js';
import type {Reservation} from './reservation.js';

/**
How long a request may wait for rights, as a share of `goalMs`, the time within which its route wants the first byte at the
caller. A refusal after that share still leaves the caller time to retry.
*/
const rightsWaitShareOfGoal = 0.2;

/** What a reservation needs of its host. */
type ReservationContext = {
	readonly rights: Pick<HostContext['rights'], 'reserve' | 'settle' | 'retryAfterSeconds'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the reservation of one request. Without a budget, every call of `reserve` succeeds and nothing is counted. */
export const createReservation = (budget: string | undefined, {route, deadline, isContinued}: AdmittedRequest, {rights, now}: ReservationContext): Reservation => {
	let reserved = 0;
	return {
		async reserve(tokens, isFirstRun) {
			if (budget === undefined) {
				return undefined;
			}

			const waitUntil = Math.min(now() + (route.goalMs * rightsWaitShareOfGoal), deadline);
			// What is kept for other requests is not kept from one that has begun: a stream in part is worth nothing to its caller.
			const hasBegun = !isFirstRun || isContinued;
			const outcome = await rights.reserve(budget, tokens, waitUntil, hasBegun ? undefined : route.priority);
			if (outcome === 'reserved') {
				reserved += tokens;
				return undefined;
			}

			if (outcome === 'kept') {
				return hostRefusals.budgetKept;
			}

			return outcome === 'exhausted' ? hostRefusals.budgetExhausted : refuseForRights(rights.retryAfterSeconds());
		},
		reserved: () => reserved,
		settle(charged) {
			if (budget !== undefined) {
				rights.settle(budget, reserved, charged);
			}
		},
	};
};
