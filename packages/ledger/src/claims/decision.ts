import type {LedgerOp} from './ledger-op.js';
import type {SlotReply} from './slot-reply.js';

/** The ops that a request causes, and the reply that may be sent once both hosts of the pair hold those ops. */
export type Decision = {
	readonly ops: readonly LedgerOp[];
	readonly reply: SlotReply;
};
