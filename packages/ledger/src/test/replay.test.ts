import {readdirSync, readFileSync} from 'node:fs';
import test from 'ava';
import {applyOp} from '../claims/apply-op.js';
import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import {emptyLedger} from '../claims/empty-ledger.js';
import type {SlotReply} from '../claims/slot-reply.js';
import type {SlotRequest} from '../claims/slot-request.js';

/** One line of a trace: what came in, and what must come out. */
type Line = {
	readonly at: number;
	readonly request: SlotRequest;
	/** A part of the reply. */
	readonly expect: Partial<SlotReply>;
	/** Tokens of budget `b` that may still be reserved afterwards. */
	readonly available: number;
};

const folder = new URL('../../traces/', import.meta.url);

for (const file of readdirSync(folder)) {
	test(`replay: ${file.replace('.jsonl', '')}`, t => {
		const lines = readFileSync(new URL(file, folder), 'utf8').trim().split('\n').map(line => JSON.parse(line) as Line);
		let ledger = emptyLedger('x#1');
		for (const {at, request, expect, available: free} of lines) {
			const {ops, reply} = decideSlotRequest(ledger, request, at);
			for (const op of ops) {
				ledger = applyOp(ledger, op);
			}

			t.like(reply, expect, `at ${at}`);
			t.is(available(accountOf(ledger, 'b')), free, `at ${at}`);
		}
	});
}
