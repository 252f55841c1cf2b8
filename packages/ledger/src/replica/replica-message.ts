import type {LedgerOp} from '../claims/ledger-op.js';
import type {PlainLedger} from '../claims/plain-ledger.js';
import type {Pair} from './pair.js';

/** What the two hosts of a pair say to each other. Each message carries the epoch, and stale ones change nothing. */
export type ReplicaMessage =
	| {readonly type: 'append'; readonly slot: number; readonly epoch: number; readonly seq: number; readonly ops: readonly LedgerOp[]}
	| {readonly type: 'ack'; readonly slot: number; readonly epoch: number; readonly seq: number}
	/** The backup misses entries and asks for a snapshot. */
	| {readonly type: 'behind'; readonly slot: number; readonly epoch: number}
	| {readonly type: 'snapshot'; readonly slot: number; readonly pair: Pair; readonly seq: number; readonly ledger: PlainLedger};
