import test from 'ava';
import {applyOp} from '../claims/apply-op.js';
import {available} from '../account/available.js';
import type {ClaimRequest} from '../claims/claim-request.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import {emptyLedger} from '../claims/empty-ledger.js';
import type {Ledger} from '../claims/ledger.js';
import type {SettleRequest} from '../claims/settle-request.js';
import type {SlotRequest} from '../claims/slot-request.js';

const claimRequest = (changes: Partial<ClaimRequest> = {}): ClaimRequest => ({
	type: 'claim',
	budget: 'b',
	key: 'k',
	fingerprint: 'f',
	repeatable: false,
	attempt: 'first',
	runner: 'r',
	endpoint: 'e',
	reason: '',
	worstCase: 40,
	sendBy: 100,
	keepUntil: 1000,
	...changes,
});

const settleRequest = (changes: Partial<SettleRequest> = {}): SettleRequest => ({
	type: 'settle',
	budget: 'b',
	key: 'k',
	run: 1,
	outcome: 'finished',
	served: 15,
	final: true,
	answer: {status: 200, contentType: 'text/plain', body: 'the answer'},
	...changes,
});

const ledgerWithGrant = (tokens = 100): Ledger => applyOp(emptyLedger('x#1'), {type: 'grant', budget: 'b', granted: tokens});

const decideAndApply = (ledger: Ledger, request: SlotRequest, now = 1) => {
	const {ops, reply} = decideSlotRequest(ledger, request, now);
	let next = ledger;
	for (const op of ops) {
		next = applyOp(next, op);
	}

	return {ledger: next, reply};
};

const decideAndApplyAll = (ledger: Ledger, requests: readonly SlotRequest[], now = 1) => {
	let step: ReturnType<typeof decideAndApply> = {ledger, reply: {type: 'done'}};
	for (const request of requests) {
		step = decideAndApply(step.ledger, request, now);
	}

	return step;
};

const availableTokens = (ledger: Ledger): number => available(ledger.accounts.get('b')!);

test('a claim reserves its worst case, and its settlement frees what the run did not use', t => {
	const claimed = decideAndApply(ledgerWithGrant(), claimRequest());
	t.is(claimed.reply.type, 'run');
	t.is(availableTokens(claimed.ledger), 60);
	const settled = decideAndApply(claimed.ledger, settleRequest());
	t.deepEqual(settled.reply, {type: 'settled', bill: 15});
	t.is(availableTokens(settled.ledger), 85);
});

test('a claim beyond the available rights changes nothing and replies how many tokens are missing', t => {
	const {ledger, reply} = decideAndApply(ledgerWithGrant(30), claimRequest());
	t.deepEqual(reply, {type: 'short', missing: 10});
	t.is(availableTokens(ledger), 30);
});

test('a claim message that is sent twice starts one run, and another attempt is attached to that run', t => {
	const {ledger} = decideAndApply(ledgerWithGrant(), claimRequest());
	t.is(decideAndApply(ledger, claimRequest()).reply.type, 'run');
	t.is(decideAndApply(ledger, claimRequest({attempt: 'second'})).reply.type, 'attach');
	t.is(availableTokens(decideAndApply(ledger, claimRequest()).ledger), 60);
});

test('a retry of a finished request gets the recorded response and bill', t => {
	const {ledger} = decideAndApplyAll(ledgerWithGrant(), [claimRequest(), settleRequest()]);
	const {reply} = decideAndApply(ledger, claimRequest({attempt: 'second'}));
	t.like(reply, {type: 'answer', bill: 15, answer: {body: 'the answer'}});
});

test('a second settlement changes neither the bill nor the rights', t => {
	const {ledger, reply} = decideAndApplyAll(ledgerWithGrant(), [claimRequest(), settleRequest(), settleRequest({served: 30})]);
	t.deepEqual(reply, {type: 'settled', bill: 15});
	t.is(availableTokens(ledger), 85);
});

test('a key that is reused with other content is refused as a conflict', t => {
	const {ledger} = decideAndApply(ledgerWithGrant(), claimRequest());
	t.like(decideAndApply(ledger, claimRequest({fingerprint: 'other'})).reply, {type: 'refused', refusal: {code: 'key_conflict'}});
});

test('the same key under another budget is a separate request', t => {
	const ledgerWithTwoBudgets = applyOp(ledgerWithGrant(), {type: 'grant', budget: 'other', granted: 100});
	const {ledger} = decideAndApplyAll(ledgerWithTwoBudgets, [claimRequest(), settleRequest()]);
	t.is(decideAndApply(ledger, claimRequest({budget: 'other'})).reply.type, 'run');
});

test('a request that may not be repeated is not run again after contact with its run was lost', t => {
	const {ledger} = decideAndApplyAll(ledgerWithGrant(), [claimRequest(), settleRequest({outcome: 'lost', served: 0})]);
	t.like(decideAndApply(ledger, claimRequest({attempt: 'second'})).reply, {type: 'refused', refusal: {code: 'outcome_unknown', ran: 'unknown'}});
	t.is(availableTokens(ledger), 60, 'the reservation stays, since it may still be running');
});

test('a request that may not be repeated is not run again after its run failed', t => {
	const {ledger} = decideAndApplyAll(ledgerWithGrant(), [claimRequest(), settleRequest({outcome: 'failed', served: 7})]);
	t.like(decideAndApply(ledger, claimRequest({attempt: 'second'})).reply, {type: 'refused', refusal: {ran: 'ran'}});
	t.is(availableTokens(ledger), 93);
});

test('a request that may not be repeated runs again when no byte of it reached an endpoint', t => {
	const {ledger} = decideAndApplyAll(ledgerWithGrant(), [claimRequest(), settleRequest({outcome: 'not_run', served: 0})]);
	t.is(availableTokens(ledger), 100);
	t.like(decideAndApply(ledger, claimRequest({attempt: 'second'})).reply, {type: 'run', run: {number: 2}});
});

test('a repeatable request runs again after contact with its run was lost, with a reservation of its own, and is billed once', t => {
	const requests = [claimRequest({repeatable: true}), settleRequest({outcome: 'lost', served: 0}), claimRequest({repeatable: true, attempt: 'second'})];
	const rerun = decideAndApplyAll(ledgerWithGrant(), requests);
	t.is(availableTokens(rerun.ledger), 20, 'both runs hold a reservation');
	const ended = decideAndApplyAll(rerun.ledger, [settleRequest({run: 2, served: 20}), settleRequest({run: 1, served: 12})]);
	t.deepEqual(ended.reply, {type: 'settled', bill: 20});
	const account = ended.ledger.accounts.get('b')!;
	t.like(account, {
		reserved: 0, settled: 32, billed: 20, wasted: 12,
	});
});

test('expiry frees no reservation: a run without a known outcome is charged in full', t => {
	const {ledger} = decideAndApply(ledgerWithGrant(), claimRequest());
	const expired = decideAndApply(ledger, {type: 'expire'}, 1001);
	t.is(expired.ledger.claims.size, 0);
	t.is(availableTokens(expired.ledger), 60);
	t.like(expired.ledger.accounts.get('b'), {settled: 40, billed: 0, wasted: 40});
});

test('after the loss of a ledger, a request that may not be repeated runs only under a key that is newer than the new ledger', t => {
	const incompleteLedger = applyOp(emptyLedger('x#2', 500), {type: 'grant', budget: 'b', granted: 100});
	t.like(decideAndApply(incompleteLedger, claimRequest()).reply, {type: 'refused', refusal: {code: 'outcome_unknown'}});
	t.like(decideAndApply(incompleteLedger, claimRequest({keyMadeAt: 400})).reply, {type: 'refused', refusal: {code: 'outcome_unknown'}});
	t.is(decideAndApply(incompleteLedger, claimRequest({keyMadeAt: 600})).reply.type, 'run');
	t.is(decideAndApply(incompleteLedger, claimRequest({repeatable: true})).reply.type, 'run');
});

test('tokens served beyond the reservation make the available rights negative, and no further claim is admitted', t => {
	const {ledger} = decideAndApplyAll(ledgerWithGrant(40), [claimRequest(), settleRequest({served: 55})]);
	t.is(availableTokens(ledger), -15);
	t.is(decideAndApply(ledger, claimRequest({key: 'other', worstCase: 1})).reply.type, 'short');
});

/**
Guards against an overspend by a reply to an earlier generation.

A primary asks another hall for rights. Before the reply arrives, both hosts of the primary's pair are lost, and the hall's next
generation begins with an empty ledger on the same host. The reply carries the total that was ever given to the earlier
generation. If the `receive` request did not name the holder that asked, the next generation would credit itself with the whole
total, although the rights that the earlier generation held stay charged.

The model of step-replica.test.ts covers this fault too, since it delivers a reply to the hall's current primary and not only to
the holder that asked (without the check it fails with SEED=1 after 2,085 sequences).
*/
test('rights that an earlier generation asked for are not credited to the next one', t => {
	const ledger = emptyLedger('x#2');
	const receive = (to: string): SlotRequest => ({
		type: 'receive', budget: 'b', to, from: 'y#1', total: 500,
	});
	t.deepEqual(decideSlotRequest(ledger, receive('x#1'), 0).ops, []);
	t.is(decideSlotRequest(ledger, receive('x#2'), 0).ops.length, 1);
});
