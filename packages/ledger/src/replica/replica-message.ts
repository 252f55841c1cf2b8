import type {LedgerOp} from '../claims/ledger-op.js';
import type {PlainLedger} from '../claims/plain-ledger.js';
import type {Pair} from './pair.js';

/** A message between the two hosts of a pair. Each message carries the epoch of its pair, and a message of an older epoch changes nothing. */
export type ReplicaMessage =
	/** The primary's entry number `seq` and its ops. */
	| {readonly type: 'append'; readonly slot: number; readonly epoch: number; readonly seq: number; readonly ops: readonly LedgerOp[]}
	/** The backup holds all entries up to `seq`. */
	| {readonly type: 'ack'; readonly slot: number; readonly epoch: number; readonly seq: number}
	/** The backup lacks entries and asks for a snapshot. */
	| {readonly type: 'behind'; readonly slot: number; readonly epoch: number}
	/** The primary's whole ledger, with all entries up to `seq`. */
	| {readonly type: 'snapshot'; readonly slot: number; readonly pair: Pair; readonly seq: number; readonly ledger: PlainLedger};
