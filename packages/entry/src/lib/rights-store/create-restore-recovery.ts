import {setTimeout as sleep} from 'node:timers/promises';
import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import type {SlotWriter} from './slot-writer.js';
import type {RestoreRecovery} from './restore-recovery.js';

/**
How long this host draws nothing from the store after it noticed that the store was restored from an older copy, in ms. In this time the other
holders write again what they hold: holdings that the copy lacks would otherwise be drawn a second time. The pause covers the longest time that
a host may take to learn of the restore, and one write.
*/
const drawPauseMs = 5000;

/** Several calls to the store may notice the same restore. Notices within this time of the first one, in ms, count as one restore. */
const sameRestoreWindowMs = 1000;

/** The delay before a failed rewrite of what the restored store lost is retried, in ms. */
const rewriteRetryMs = 500;

type Options = {
	readonly accounts: Accounts;
	readonly writer: Pick<SlotWriter, 'slotOf' | 'flush'>;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the recovery of a host that has noticed no restore of the store yet. After a restore it writes again what the host holds, and pauses the
host's draws until the other hosts had time to write again what they hold.
*/
export const createRestoreRecovery = ({accounts, writer, log, now}: Options): RestoreRecovery => {
	const closeController = new AbortController();
	let noticedAt = Number.NEGATIVE_INFINITY;

	const rewriteSlot = async (slot: number): Promise<void> => {
		while (!closeController.signal.aborted && !await writer.flush(slot)) {
			await sleep(rewriteRetryMs);
		}
	};

	return {
		noteRestored() {
			if (now() - noticedAt < sameRestoreWindowMs) {
				return;
			}

			noticedAt = now();
			const held = accounts.budgets().filter(budget => accounts.get(budget).granted !== 0);
			const slots = new Set(held.map(budget => writer.slotOf(budget)));
			log('rights_restored', {budgets: held.length});
			for (const slot of slots) {
				void rewriteSlot(slot);
			}
		},
		isDrawPaused: () => now() - noticedAt < drawPauseMs,
		close() {
			closeController.abort();
		},
	};
};
