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

/** Creates the queue of requests that wait for rights. One write serves all that waited when it was planned. */
export const createDrawQueue = ({accounts, writer, now}: Options): DrawQueue => {
	let waiters: readonly Waiter[] = [];

	const flushFor = async (waiter: Waiter): Promise<void> => {
		const slot = writer().slotOf(waiter.budget);
		// A write that is under way was planned without this request.
		await writer().untilIdle(slot);
		if (!waiters.includes(waiter)) {
			return;
		}

		const isJoined = writer().isBusy(slot);
		const planned = waiters.filter(({budget}) => writer().slotOf(budget) === slot);
		await writer().flush(slot);
		if (isJoined) {
			return;
		}

		const concerned = planned.filter(entry => waiters.includes(entry));
		waiters = waiters.filter(entry => !concerned.includes(entry));
		for (const entry of concerned) {
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
					clearTimeout(giveUp);
					resolve(outcome);
				},
			};
			const giveUp = setTimeout(() => {
				waiters = waiters.filter(entry => entry !== waiter);
				resolve('unavailable');
			}, deadline - now());
			waiters = [...waiters, waiter];
			void flushFor(waiter);
		}),
	};
};
