import {emptyLedger} from '../claims/empty-ledger.js';
import type {ReplicaEvent} from '../replica/replica-event.js';
import type {ReplicaRole} from '../replica/replica-role.js';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';
import {rejectPending} from './reject-pending.js';
import {releaseReplies} from './release-replies.js';
import {sendSnapshot} from './send-snapshot.js';

const becomePrimary = (replica: Replica, event: ReplicaEvent & {type: 'configure'}, now: number): ReplicaStep => {
	const {pair, holder} = event;
	const isNewGeneration = pair.generation !== replica.pair.generation;
	if (!isNewGeneration && !replica.synced) {
		// A primary without the pair's ledger would not know earlier claims and could run a request twice. The host retires from the
		// slot until the store confirms another pair.
		return {replica: {...replica, pair, role: 'retired'}, effects: []};
	}

	// No ledger was lost before the first generation, so its ledger is complete since 0.
	const ledger = isNewGeneration ? emptyLedger(holder, pair.generation > 1 ? now : 0) : replica.ledger;
	const seq = isNewGeneration ? 0 : replica.seq;
	// -1: the backup has acknowledged nothing in this epoch, not even a ledger without entries (`seq` 0).
	const acked = pair.backup === undefined ? seq : -1;
	const next: Replica = {
		...replica, pair, role: 'primary', ledger, seq, acked, synced: true,
	};
	const released = releaseReplies(next);
	return {replica: released.replica, effects: [...sendSnapshot(next), ...released.effects]};
};

const stepDown = (replica: Replica, event: ReplicaEvent & {type: 'configure'}, role: ReplicaRole): ReplicaStep => {
	const {replica: next, effects} = rejectPending(replica);
	const ledger = role === 'retired' ? emptyLedger('') : next.ledger;
	return {
		replica: {
			...next, pair: event.pair, role, ledger, synced: false,
		}, effects,
	};
};

/**
Gives this host its role in a newer pair. A pair of a known or older epoch changes nothing.

@param now Wall-clock time in ms; claims made before it may be missing from the ledger of a later generation.
*/
export const stepConfigure = (replica: Replica, event: ReplicaEvent & {type: 'configure'}, now: number): ReplicaStep => {
	const {pair} = event;
	if (pair.epoch <= replica.pair.epoch) {
		return {replica, effects: []};
	}

	if (pair.primary === replica.self) {
		return becomePrimary(replica, event, now);
	}

	return stepDown(replica, event, pair.backup === replica.self ? 'backup' : 'retired');
};
