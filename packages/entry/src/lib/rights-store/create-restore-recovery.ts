import {setTimeout as sleep} from 'node:timers/promises';
import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import type {SlotWriter} from './slot-writer.js';
import type {RestoreRecovery} from './restore-recovery.js';

/**
How long nothing is drawn after this host noticed the restore, in ms. Holders write again meanwhile what they hold: what the copy lacks of
that would be drawn twice. As long as a host may take to hear of it, and for a write.
*/
const drawPauseMs = 5000;

/** A restore that is noticed by several calls within this time is one, in ms. */
const sameRestoreMs = 1000;

/** Between two tries to write again what the store lost, in ms. */
const writeAgainMs = 500;

type Options = {
	readonly accounts: Accounts;
	readonly writer: Pick<SlotWriter, 'slotOf' | 'flush'>;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the recovery of a host that has noticed no restore. It writes again what the host holds, and keeps it from drawing until others had time for that. */
export const createRestoreRecovery = ({accounts, writer, log, now}: Options): RestoreRecovery => {
	const closing = new AbortController();
	let notedAt = Number.NEGATIVE_INFINITY;

	const writeAgain = async (slot: number): Promise<void> => {
		while (!closing.signal.aborted && !await writer.flush(slot)) {
			await sleep(writeAgainMs);
		}
	};

	return {
		noteRestored() {
			if (now() - notedAt < sameRestoreMs) {
				return;
			}

			notedAt = now();
			const held = accounts.budgets().filter(budget => accounts.get(budget).granted !== 0);
			const slots = new Set(held.map(budget => writer.slotOf(budget)));
			log('rights_restored', {budgets: held.length});
			for (const slot of slots) {
				void writeAgain(slot);
			}
		},
		isDrawPaused: () => now() - notedAt < drawPauseMs,
		close() {
			closing.abort();
		},
	};
};
