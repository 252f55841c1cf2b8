import {emptyLedger} from '../claims/empty-ledger.js';
import type {ReplicaEvent} from '../replica/replica-event.js';
import type {ReplicaRole} from '../replica/replica-role.js';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';
import {disown} from './disown.js';
import {releaseReplies} from './release-replies.js';
import {sendSnapshot} from './send-snapshot.js';

const becomePrimary = (replica: Replica, event: ReplicaEvent & {type: 'configure'}, now: number): ReplicaStep => {
	const {pair, holder} = event;
	const isNewGeneration = pair.generation !== replica.pair.generation;
	if (!isNewGeneration && !replica.synced) {
		// Serving without the pair's ledger would forget claims. Wait for a pair that fits.
		return {replica: {...replica, pair, role: 'retired'}, effects: []};
	}

	// The first generation has no history to miss.
	const ledger = isNewGeneration ? emptyLedger(holder, pair.generation > 1 ? now : 0) : replica.ledger;
	const seq = isNewGeneration ? 0 : replica.seq;
	const acked = pair.backup === undefined ? seq : -1;
	const next: Replica = {
		...replica, pair, role: 'primary', ledger, seq, acked, synced: true,
	};
	const released = releaseReplies(next);
	return {replica: released.replica, effects: [...sendSnapshot(next), ...released.effects]};
};

const stepDown = (replica: Replica, event: ReplicaEvent & {type: 'configure'}, role: ReplicaRole): ReplicaStep => {
	const {replica: next, effects} = disown(replica);
	const ledger = role === 'retired' ? emptyLedger('') : next.ledger;
	return {
		replica: {
			...next, pair: event.pair, role, ledger, synced: false,
		}, effects,
	};
};

/** Takes up the part that a newer pair gives this host. Older or known pairs change nothing. */
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
