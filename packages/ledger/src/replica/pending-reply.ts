import type {SlotReply} from '../claims/slot-reply.js';

/** A reply that is held until the backup holds the entry it depends on. */
export type PendingReply = {
	readonly seq: number;
	/** Names the request towards the task that submitted it. */
	readonly id: number;
	readonly reply: SlotReply;
};
