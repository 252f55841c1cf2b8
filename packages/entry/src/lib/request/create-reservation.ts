import type {AdmittedRequest} from '../admission/admitted-request.js';
import {hostRefusals} from '../admission/host-refusals.js';
import {refuseForRights} from '../admission/refuse-for-rights.js';
import type {Schedule} from '../../adapter/schedule.js';
import type {ReserveOutcome} from '../rights/reserve-outcome.js';
import type {HostContext} from './host-context.js';
import type {Reservation} from './reservation.js';

/**
How long a request may wait for rights, as a share of `goalMs`, the time within which its route wants the first byte at the
caller. A refusal after that share still leaves the caller time to retry.
*/
const rightsWaitShareOfGoal = 0.2;

/** How long a request that goes on with a stream may wait for rights, as a share of `goalMs`: a refusal would leave its caller with a part of an answer. */
const continuedWaitShareOfGoal = 1;

/** How long such a request waits before it asks for rights again that were out of reach, in ms: about the time of two draws from the store. */
const continuedRetryMs = 100;

/** What a reservation needs of its host. */
type ReservationContext = {
	readonly rights: Pick<HostContext['rights'], 'reserve' | 'settle' | 'retryAfterSeconds'>;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the reservation of one request. Without a budget, every call of `reserve` succeeds and nothing is counted. */
export const createReservation = (budget: string | undefined, {route, deadline, isContinued = false}: AdmittedRequest, {rights, schedule, now}: ReservationContext): Reservation => {
	let reserved = 0;
	const waitUntil = (share: number): number => Math.min(now() + (route.goalMs * share), deadline);

	const reserveOnce = async (name: string, tokens: number, priority: number | undefined): Promise<ReserveOutcome> =>
		rights.reserve(name, tokens, waitUntil(rightsWaitShareOfGoal), priority);

	const reserveForContinued = async (name: string, tokens: number): Promise<ReserveOutcome> => {
		const giveUpAt = waitUntil(continuedWaitShareOfGoal);
		for (;;) {
			const outcome = await reserveOnce(name, tokens, undefined);
			if (outcome !== 'unavailable' || now() + continuedRetryMs >= giveUpAt) {
				return outcome;
			}

			await new Promise<void>(resolve => {
				schedule(continuedRetryMs, resolve);
			});
		}
	};

	return {
		async reserve(tokens, isFirstRun) {
			if (budget === undefined) {
				return undefined;
			}

			// What is kept for other requests is not kept from one that has begun: a stream in part is worth nothing to its caller.
			const outcome = isFirstRun && isContinued
				? await reserveForContinued(budget, tokens)
				: await reserveOnce(budget, tokens, isFirstRun ? route.priority : undefined);
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
