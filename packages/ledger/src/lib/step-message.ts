import {List} from 'immutable';
import {applyOp} from '../claims/apply-op.js';
import {fromPlainLedger} from '../claims/from-plain-ledger.js';
import type {ReplicaEffect} from '../replica/replica-effect.js';
import type {ReplicaMessage} from '../replica/replica-message.js';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';
import {rejectPending} from './reject-pending.js';
import {releaseReplies} from './release-replies.js';
import {sendSnapshot} from './send-snapshot.js';

const unchanged = (replica: Replica): ReplicaStep => ({replica, effects: []});

const sendAck = (replica: Replica, to: string): ReplicaEffect =>
	({
		type: 'send', to, message: {
			type: 'ack', slot: replica.slot, epoch: replica.pair.epoch, seq: replica.seq,
		},
	});

const stepAppend = (replica: Replica, from: string, message: ReplicaMessage & {type: 'append'}): ReplicaStep => {
	const {slot, epoch, seq, ops} = message;
	const isFromPrimary = replica.role === 'backup' && epoch === replica.pair.epoch && from === replica.pair.primary;
	const isNewerEpoch = epoch > replica.pair.epoch;
	if (isNewerEpoch || (isFromPrimary && (!replica.synced || seq > replica.seq + 1))) {
		return {replica, effects: [{type: 'send', to: from, message: {type: 'behind', slot, epoch}}]};
	}

	if (!isFromPrimary) {
		return unchanged(replica);
	}

	if (seq <= replica.seq) {
		return {replica, effects: [sendAck(replica, from)]};
	}

	let {ledger} = replica;
	for (const op of ops) {
		ledger = applyOp(ledger, op);
	}

	const next: Replica = {...replica, ledger, seq};
	return {replica: next, effects: [sendAck(next, from)]};
};

// A snapshot of a newer epoch may arrive before this host has read that pair from the store. Only a primary whose pair the store
// confirmed sends snapshots, so this host takes the newer pair from the snapshot.
const stepSnapshot = (replica: Replica, from: string, message: ReplicaMessage & {type: 'snapshot'}): ReplicaStep => {
	const {pair, seq} = message;
	const isNewerPair = pair.epoch > replica.pair.epoch;
	const isResync = pair.epoch === replica.pair.epoch && replica.role === 'backup' && (seq >= replica.seq || !replica.synced);
	const isForThisHost = pair.backup === replica.self && pair.primary === from;
	if (!isForThisHost || !(isNewerPair || isResync)) {
		return unchanged(replica);
	}

	const {effects} = rejectPending(replica);
	const next: Replica = {
		...replica, pair, role: 'backup', ledger: fromPlainLedger(message.ledger), seq, acked: 0, synced: true, pending: List(),
	};
	return {replica: next, effects: [...effects, sendAck(next, from)]};
};

const stepAck = (replica: Replica, from: string, message: ReplicaMessage & {type: 'ack'}): ReplicaStep => {
	const isFromBackup = replica.role === 'primary' && message.epoch === replica.pair.epoch && from === replica.pair.backup;
	if (!isFromBackup || message.seq <= replica.acked) {
		return unchanged(replica);
	}

	return releaseReplies({...replica, acked: message.seq});
};

/** Handles a message from the other host of the pair. A message of an older epoch changes nothing. */
export const stepMessage = (replica: Replica, from: string, message: ReplicaMessage): ReplicaStep => {
	switch (message.type) {
		case 'append': {
			return stepAppend(replica, from, message);
		}

		case 'ack': {
			return stepAck(replica, from, message);
		}

		case 'behind': {
			return message.epoch === replica.pair.epoch ? {replica, effects: sendSnapshot(replica)} : unchanged(replica);
		}

		case 'snapshot': {
			return stepSnapshot(replica, from, message);
		}
	}
};
