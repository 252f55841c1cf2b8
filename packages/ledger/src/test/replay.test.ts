import {readdirSync, readFileSync} from 'node:fs';
import test from 'ava';
import {applyOp} from '../claims/apply-op.js';
import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import {emptyLedger} from '../claims/empty-ledger.js';
import type {SlotReply} from '../claims/slot-reply.js';
import type {SlotRequest} from '../claims/slot-request.js';

/** One line of a trace file: a request to the ledger, and the expected result. */
type TraceLine = {
	/** Wall-clock time in ms at which the request is decided. */
	readonly at: number;
	readonly request: SlotRequest;
	/** The fields that the reply must have; other fields of the reply are not checked. */
	readonly expect: Partial<SlotReply>;
	/** Tokens of budget `b` that must be available after the request. */
	readonly available: number;
};

const folder = new URL('../../traces/', import.meta.url);

for (const file of readdirSync(folder)) {
	test(`replay: ${file.replace('.jsonl', '')}`, t => {
		const lines = readFileSync(new URL(file, folder), 'utf8').trim().split('\n').map(line => JSON.parse(line) as TraceLine);
		let ledger = emptyLedger('x#1');
		for (const {at, request, expect, available: availableTokens} of lines) {
			const {ops, reply} = decideSlotRequest(ledger, request, at);
			for (const op of ops) {
				ledger = applyOp(ledger, op);
			}

			t.like(reply, expect, `at ${at}`);
			t.is(available(accountOf(ledger, 'b')), availableTokens, `at ${at}`);
		}
	});
}
