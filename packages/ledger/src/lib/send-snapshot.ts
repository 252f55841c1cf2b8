import type {ReplicaEffect} from '../replica/replica-effect.js';
import type {Replica} from '../replica/replica.js';
import {toPlainLedger} from '../claims/to-plain-ledger.js';

/** The effects that give the backup the whole ledger; none when there is no backup. */
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
