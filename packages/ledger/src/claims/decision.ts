import type {LedgerOp} from './ledger-op.js';
import type {SlotReply} from './slot-reply.js';

/** What a request changes, and its reply once the change is safe on both hosts. */
export type Decision = {
	readonly ops: readonly LedgerOp[];
	readonly reply: SlotReply;
};
