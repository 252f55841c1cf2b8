import {
	accountOf, available, emptyLedger, slotOfBudget,
} from '@deckwheel/ledger';
import type {Context} from '../process/context.js';
import type {SlotsTask} from '../slots/slots-task.js';

/** What operators see of a budget at one host, in tokens: its hall's rights, if this host has the ledger. */
export const describeBudget = (budget: string, {settings}: Context, {slots}: {readonly slots: SlotsTask}): Readonly<Record<string, unknown>> => {
	const slot = slotOfBudget(budget, settings.slots);
	const replica = slots.replica(slot);
	const account = accountOf(replica?.ledger ?? emptyLedger(''), budget);
	return {
		hall: settings.hall,
		slot,
		role: replica?.role ?? 'retired',
		primary: slots.pairOf(slot)?.primary,
		holder: replica?.ledger.holder,
		granted: account.granted,
		reserved: account.reserved,
		settled: account.settled,
		billed: account.billed,
		wasted: account.wasted,
		available: available(account),
	};
};
