import type {ReplicaEffect} from '../replica/replica-effect.js';
import type {Replica} from '../replica/replica.js';
import {toPlainLedger} from '../claims/to-plain-ledger.js';

/** The effects that send the whole ledger to the backup; none on a host that is not the primary or has no backup. */
export const sendSnapshot = (replica: Replica): readonly ReplicaEffect[] => {
	const {pair, slot, seq, ledger} = replica;
	if (replica.role !== 'primary' || pair.backup === undefined) {
		return [];
	}

	return [{
		type: 'send', to: pair.backup, message: {
			type: 'snapshot', slot, pair, seq, ledger: toPlainLedger(ledger),
		},
	}];
};
