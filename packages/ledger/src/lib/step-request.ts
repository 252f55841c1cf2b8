import {applyOp} from '../claims/apply-op.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import type {ReplicaEffect} from '../replica/replica-effect.js';
import type {ReplicaEvent} from '../replica/replica-event.js';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';
import {releaseReplies} from './release-replies.js';

const applyOps = (replica: Replica, ops: ReadonlyArray<Parameters<typeof applyOp>[1]>) => {
	let {ledger} = replica;
	for (const op of ops) {
		ledger = applyOp(ledger, op);
	}

	return ledger;
};

/**
Decides a request if this host is the slot's primary. Otherwise replies `not_owner` with the newest pair that this host knows.

@param now Wall-clock time in ms.
*/
export const stepRequest = (replica: Replica, event: ReplicaEvent & {type: 'request'}, now: number): ReplicaStep => {
	const {id} = event;
	if (replica.role !== 'primary') {
		return {replica, effects: [{type: 'reply', id, reply: {type: 'not_owner', pair: replica.pair}}]};
	}

	const {ops, reply} = decideSlotRequest(replica.ledger, event.request, now);
	const {slot, pair: {epoch, backup}} = replica;
	const hasChanges = ops.length > 0;
	const seq = hasChanges ? replica.seq + 1 : replica.seq;
	const appends: readonly ReplicaEffect[] = hasChanges && backup !== undefined
		? [{
			type: 'send', to: backup, message: {
				type: 'append', slot, epoch, seq, ops,
			},
		}]
		: [];
	// A primary without a backup replies at once. With a backup, even the reply to a request that changes nothing waits
	// for the backup: the reply may depend on an entry that only this host holds.
	const acked = backup === undefined ? seq : replica.acked;
	const next: Replica = {
		...replica, seq, acked, ledger: applyOps(replica, ops), pending: replica.pending.push({seq, id, reply}),
	};
	const released = releaseReplies(next);
	return {replica: released.replica, effects: [...appends, ...released.effects]};
};
