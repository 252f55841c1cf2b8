import type {Accounts} from '../rights/accounts.js';
import type {DrawQueue} from './draw-queue.js';
import type {SlotWriter} from './slot-writer.js';

type Waiter = {
	readonly budget: string;
	readonly tokens: number;
	readonly resolve: (outcome: 'reserved' | 'unavailable') => void;
};

type Options = {
	readonly accounts: Accounts;
	readonly writer: () => SlotWriter;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the queue of requests that wait for a draw of rights from the store. One write to a slot serves all requests that were waiting when the write was planned. */
export const createDrawQueue = ({accounts, writer, now}: Options): DrawQueue => {
	let waiters: readonly Waiter[] = [];

	const flushFor = async (waiter: Waiter): Promise<void> => {
		const slot = writer().slotOf(waiter.budget);
		// A write of the slot that is in flight was planned before this request joined the queue, so it draws nothing for the request.
		await writer().untilIdle(slot);
		if (!waiters.includes(waiter)) {
			return;
		}

		const hasJoinedWrite = writer().isBusy(slot);
		const planned = waiters.filter(({budget}) => writer().slotOf(budget) === slot);
		await writer().flush(slot);
		if (hasJoinedWrite) {
			return;
		}

		const served = planned.filter(entry => waiters.includes(entry));
		waiters = waiters.filter(entry => !served.includes(entry));
		for (const entry of served) {
			entry.resolve(accounts.tryReserve(entry.budget, entry.tokens) ? 'reserved' : 'unavailable');
		}
	};

	return {
		missing(budget) {
			let wanted = 0;
			for (const waiter of waiters) {
				wanted += waiter.budget === budget ? waiter.tokens : 0;
			}

			return Math.max(0, wanted - accounts.available(budget));
		},
		draw: async (budget, tokens, deadline) => new Promise(resolve => {
			const waiter: Waiter = {
				budget,
				tokens,
				resolve(outcome) {
					clearTimeout(deadlineTimer);
					resolve(outcome);
				},
			};
			const deadlineTimer = setTimeout(() => {
				waiters = waiters.filter(entry => entry !== waiter);
				resolve('unavailable');
			}, deadline - now());
			waiters = [...waiters, waiter];
			void flushFor(waiter);
		}),
	};
};
