import type {List} from 'immutable';
import type {Ledger} from '../claims/ledger.js';
import type {Pair} from './pair.js';
import type {PendingReply} from './pending-reply.js';
import type {ReplicaRole} from './replica-role.js';

/** One host's copy of one slot's ledger, and the state of its replication. */
export type Replica = {
	/** This host's incarnation. */
	readonly self: string;
	readonly slot: number;
	/** The newest pair that this host knows. */
	readonly pair: Pair;
	readonly role: ReplicaRole;
	readonly ledger: Ledger;
	/** The number of entries that were applied to the ledger since its generation began. */
	readonly seq: number;
	/** The last entry that the backup has acknowledged in this epoch: -1 before its first acknowledgement, `seq` without a backup. Only a primary uses it. */
	readonly acked: number;
	/** Whether this host holds the ledger of the pair's epoch, so that it may become the primary. */
	readonly synced: boolean;
	/** Replies that wait for the backup's acknowledgement, oldest first. */
	readonly pending: List<PendingReply>;
};
