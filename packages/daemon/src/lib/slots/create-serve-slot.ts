import {setTimeout as delay} from 'node:timers/promises';
import type {Refusal} from '@deckwheel/core';
import type {ClaimRequest, SlotReply} from '@deckwheel/ledger';
import type {Context} from '../process/context.js';
import type {DrawTask} from '../draws/draw-task.js';
import type {PeerSlotRequest} from '../peers/peer-slot-request.js';
import type {SlotsTask} from './slots-task.js';

/** Draws tried for one claim: the rest in the store, then what other halls can spare. */
const maxDraws = 3;

/** When a caller should come back whose rights cannot be drawn, in seconds. */
const storeAwayRetrySeconds = 5;

type Options = {
	readonly slots: SlotsTask;
	readonly draws: DrawTask;
	/** Asks other halls for rights. Returns whether some came. */
	readonly fetchRights: (slot: number, budget: string, tokens: number) => Promise<{readonly received: number; readonly allAnswered: boolean}>;
};

const exhausted: Refusal = {
	code: 'budget_exhausted',
	message: 'The budget does not allow this request. Top it up, or ask for fewer tokens.',
	ran: 'not_run',
};

const rightsUnavailable: Refusal = {
	code: 'rights_unavailable',
	message: 'The rest of the budget is held where this hall cannot reach it now.',
	ran: 'not_run',
	retryAfterSeconds: storeAwayRetrySeconds,
};

const noSuchBudget: Refusal = {
	code: 'not_found',
	message: 'The budget of this API key does not exist. Ask your operator to create it.',
	ran: 'not_run',
};

const refused = (refusal: Refusal): SlotReply => ({type: 'refused', refusal});

/** Creates the function by which a primary serves a slot: a claim that lacks rights gets them drawn first. */
export const createServeSlot = ({metrics}: Context, {slots, draws, fetchRights}: Options) => {
	const serveClaim = async (slot: number, request: ClaimRequest): Promise<SlotReply> => {
		let refusal = rightsUnavailable;
		for (let tries = 0; tries <= maxDraws; tries++) {
			const reply = await slots.submit(slot, request);
			if (reply.type === 'run') {
				draws.noteDemand(request.budget, request.worstCase);
			}

			if (reply.type !== 'short') {
				return reply;
			}

			metrics.count('claim.short');
			const outcome = await draws.need(slot, request.budget, reply.missing);
			if (outcome.type === 'no_such_budget') {
				return refused(noSuchBudget);
			}

			// The store could cover it, but others drew at the same time: try again.
			if (outcome.type === 'drawn' && outcome.rest > 0) {
				continue;
			}

			const again = await slots.submit(slot, request);
			if (again.type !== 'short') {
				return again;
			}

			const {received, allAnswered} = await fetchRights(slot, request.budget, again.missing);
			refusal = outcome.type === 'drawn' && allAnswered ? exhausted : rightsUnavailable;
			if (received === 0) {
				break;
			}

			await delay(0);
		}

		metrics.count('claim.refused', {code: refusal.code});
		return refused(refusal);
	};

	return async (slot: number, request: PeerSlotRequest): Promise<SlotReply> =>
		request.type === 'claim' ? serveClaim(slot, request) : slots.submit(slot, request);
};
