import {rankByRendezvous} from '@deckwheel/core';
import type {Bundle} from '@deckwheel/bundle';
import type {Context} from '../process/context.js';
import type {AskSlot} from './ask-slot.js';
import type {SlotsTask} from './slots-task.js';

/** How long another hall may take to answer a question for rights, in ms. */
const askTimeoutMs = 400;

/** A hall that did not answer is not asked again for this long, so that a cut delays few refusals. */
const avoidMs = 2000;

/** What came of asking other halls. */
type Fetched = {readonly received: number; readonly allAnswered: boolean};

type Options = {
	readonly slots: SlotsTask;
	readonly bundle: () => Bundle | undefined;
	readonly askSlot: () => AskSlot;
};

/** Creates the function that asks the other halls for rights on a budget. */
export const createFetchRights = ({settings, clock}: Context, {slots, bundle, askSlot}: Options) => {
	const avoidUntil = new Map<string, number>();

	const askHall = async (hall: string, slot: number, budget: string, tokens: number): Promise<number | undefined> => {
		const {holder} = slots.replica(slot)!.ledger;
		const outcome = await askSlot()(hall, slot, {
			type: 'want', budget, holder, tokens,
		}, clock.monotonic() + askTimeoutMs);
		if (!outcome.ok || outcome.value.type !== 'given') {
			avoidUntil.set(hall, clock.monotonic() + avoidMs);
			return undefined;
		}

		const {from, total} = outcome.value;
		const before = slots.replica(slot)!.ledger.accounts.get(budget)?.received.get(from) ?? 0;
		await slots.submit(slot, {
			type: 'receive', budget, to: holder, from, total,
		});
		return Math.max(0, total - before);
	};

	return async (slot: number, budget: string, tokens: number): Promise<Fetched> => {
		const current = bundle();
		if (!current) {
			return {received: 0, allAnswered: false};
		}

		const halls = current.halls.map(({id}) => id).filter(id => id !== settings.hall);
		let received = 0;
		let allAnswered = true;
		// One after the other, so that no more is collected than the request needs.
		for (const hall of rankByRendezvous(budget, halls)) {
			const isAvoided = (avoidUntil.get(hall) ?? 0) > clock.monotonic();
			const part = isAvoided ? undefined : await askHall(hall, slot, budget, tokens - received);
			received += part ?? 0;
			allAnswered &&= part !== undefined;
			if (received >= tokens) {
				break;
			}
		}

		return {received, allAnswered};
	};
};
