import type {SlotReply} from '../claims/slot-reply.js';

/** A reply that the primary holds back until the backup has acknowledged the entries that the reply depends on. */
export type PendingReply = {
	/** The last entry that the reply may depend on. */
	readonly seq: number;
	/** Identifies the request to the task that submitted it. */
	readonly id: number;
	readonly reply: SlotReply;
};
