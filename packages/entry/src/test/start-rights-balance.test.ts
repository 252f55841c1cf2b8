import test from 'ava';
import {createAccounts} from '../lib/create-accounts.js';
import {createStoreState} from '../lib/create-store-state.js';
import {startRightsBalance} from '../lib/start-rights-balance.js';

test('once a call finds the store back, all slots are written without a further wait', async t => {
	let time = 0;
	const now = (): number => time;
	const state = createStoreState(() => undefined, now);
	const accounts = createAccounts();
	const written: number[] = [];
	let ticks = 0;
	await new Promise<void>(resolve => {
		const balance = startRightsBalance({
			holder: 'edge-1#a',
			accounts,
			allocators: {
				isAllocator: () => true, drawsAhead: () => true, others: () => [], isClient: () => false,
			},
			borrower: {borrow: async () => false, handBackIdle: () => undefined},
			writer: {
				slotOf: Number,
				rightsOf: () => undefined,
				ageOf: () => 0,
				isBusy: () => false,
				idle: async () => undefined,
				async flush(slot) {
					const isBack = ticks > 2;
					state.note(isBack);
					if (isBack) {
						written.push(slot);
					}

					if (written.length === 4) {
						balance.close();
						resolve();
					}

					return isBack;
				},
			},
			state,
			holdAhead: () => 0,
			budgets: () => ['0', '1', '2', '3'],
			isSettled: () => true,
			isRetiring() {
				ticks++;
				time += 10_000;
				return false;
			},
			log: () => undefined,
			now,
		});
	});
	// The third look at the clock finds the store back; no slot had to wait for a fourth.
	t.deepEqual([...written].sort((a, b) => a - b), [0, 1, 2, 3]);
	t.is(ticks, 3);
});
