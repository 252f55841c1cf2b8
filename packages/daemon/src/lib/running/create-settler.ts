import {setTimeout as delay} from 'node:timers/promises';
import {slotOfBudget, type SettleRequest} from '@deckwheel/ledger';
import type {AskSlot} from '../slots/ask-slot.js';
import type {Context} from '../process/context.js';
import type {Settler} from './settler.js';

/** How long one try to tell the end of a run may take, in ms. */
const tryMs = 5000;

/** Before the next try, in ms: a hall that is cut off fails at once. */
const retryPauseMs = 250;

/** The caller's answer does not wait longer than this for the ledger. */
const answerWaitMs = 1000;

/** A settlement is given up after this time; the primary then asks the endpoint itself, or charges the worst case. */
const giveUpMs = 600_000;

/** Creates the task that reports the ends of runs. */
export const createSettler = ({settings, clock, log, metrics}: Context, askSlot: AskSlot): Settler => {
	const open = new Set<Promise<void>>();

	const keepTrying = async (home: string, request: SettleRequest): Promise<void> => {
		const slot = slotOfBudget(request.budget, settings.slots);
		const giveUpAt = clock.monotonic() + giveUpMs;
		while (clock.monotonic() < giveUpAt) {
			const outcome = await askSlot(home, slot, request, clock.monotonic() + tryMs);
			// A primary that cannot read the report, as of an earlier release, replies as well.
			if (outcome.ok && outcome.value.type === 'settled') {
				return;
			}

			log('warn', 'settle_delayed', {
				home, slot, run: request.run, reply: outcome.ok ? outcome.value.type : outcome.error,
			});
			await delay(retryPauseMs);
		}

		metrics.count('settle.given_up');
		log('error', 'settle_given_up', {
			home, slot, run: request.run, served: request.served,
		});
	};

	const track = async (work: Promise<void>): Promise<void> => {
		open.add(work);
		await work;
		open.delete(work);
	};

	return {
		async settle(home, request) {
			const attempt = track(keepTrying(home, request));
			await Promise.race([attempt, delay(answerWaitMs, undefined, {ref: false})]);
		},
		open: () => open.size,
		async drain(deadline) {
			const wait = Math.max(0, deadline - clock.monotonic());
			await Promise.race([Promise.all(open), delay(wait, undefined, {ref: false})]);
		},
	};
};
