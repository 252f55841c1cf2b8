import type {List} from 'immutable';
import type {Ledger} from '../claims/ledger.js';
import type {Pair} from './pair.js';
import type {PendingReply} from './pending-reply.js';
import type {ReplicaRole} from './replica-role.js';

/** One host's part in serving one slot. */
export type Replica = {
	/** This host's incarnation. */
	readonly self: string;
	readonly slot: number;
	readonly pair: Pair;
	readonly role: ReplicaRole;
	readonly ledger: Ledger;
	/** Number of entries applied since the generation began. */
	readonly seq: number;
	/** The last entry that the backup is known to hold; only a primary uses it. */
	readonly acked: number;
	/** Whether this host holds a ledger of the pair's epoch, and so may become its primary. */
	readonly synced: boolean;
	/** Replies that wait for the backup, oldest first. */
	readonly pending: List<PendingReply>;
};
