import {applyOp} from '../claims/apply-op.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import type {ReplicaEffect} from '../replica/replica-effect.js';
import type {ReplicaEvent} from '../replica/replica-event.js';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';
import {releaseReplies} from './release-replies.js';

const ledgerAfter = (replica: Replica, ops: ReadonlyArray<Parameters<typeof applyOp>[1]>) => {
	let {ledger} = replica;
	for (const op of ops) {
		ledger = applyOp(ledger, op);
	}

	return ledger;
};

/** A primary decides a request; anyone else names the pair that it knows of. */
export const stepRequest = (replica: Replica, event: ReplicaEvent & {type: 'request'}, now: number): ReplicaStep => {
	const {id} = event;
	if (replica.role !== 'primary') {
		return {replica, effects: [{type: 'reply', id, reply: {type: 'not_owner', pair: replica.pair}}]};
	}

	const {ops, reply} = decideSlotRequest(replica.ledger, event.request, now);
	const {slot, pair: {epoch, backup}} = replica;
	const changes = ops.length > 0;
	const seq = changes ? replica.seq + 1 : replica.seq;
	const sends: readonly ReplicaEffect[] = changes && backup !== undefined
		? [{
			type: 'send', to: backup, message: {
				type: 'append', slot, epoch, seq, ops,
			},
		}]
		: [];
	// Without a backup there is nobody to wait for. With one, even a reply that changes
	// nothing waits: it may tell of an entry that only this host holds.
	const acked = backup === undefined ? seq : replica.acked;
	const next: Replica = {
		...replica, seq, acked, ledger: ledgerAfter(replica, ops), pending: replica.pending.push({seq, id, reply}),
	};
	const released = releaseReplies(next);
	return {replica: released.replica, effects: [...sends, ...released.effects]};
};
