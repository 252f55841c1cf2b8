import test from 'ava';
import {applyOp} from '../claims/apply-op.js';
import {available} from '../account/available.js';
import type {ClaimRequest} from '../claims/claim-request.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import {emptyLedger} from '../claims/empty-ledger.js';
import type {Ledger} from '../claims/ledger.js';
import type {SettleRequest} from '../claims/settle-request.js';
import type {SlotRequest} from '../claims/slot-request.js';

const claim = (changes: Partial<ClaimRequest> = {}): ClaimRequest => ({
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

const settle = (changes: Partial<SettleRequest> = {}): SettleRequest => ({
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

const funded = (tokens = 100): Ledger => applyOp(emptyLedger('x#1'), {type: 'grant', budget: 'b', granted: tokens});

const play = (ledger: Ledger, request: SlotRequest, now = 1) => {
	const {ops, reply} = decideSlotRequest(ledger, request, now);
	let next = ledger;
	for (const op of ops) {
		next = applyOp(next, op);
	}

	return {ledger: next, reply};
};

const playAll = (ledger: Ledger, requests: readonly SlotRequest[], now = 1) => {
	let step: ReturnType<typeof play> = {ledger, reply: {type: 'done'}};
	for (const request of requests) {
		step = play(step.ledger, request, now);
	}

	return step;
};

const free = (ledger: Ledger): number => available(ledger.accounts.get('b')!);

test('a claim reserves its worst case, and a settlement gives the difference back', t => {
	const claimed = play(funded(), claim());
	t.is(claimed.reply.type, 'run');
	t.is(free(claimed.ledger), 60);
	const settled = play(claimed.ledger, settle());
	t.deepEqual(settled.reply, {type: 'settled', bill: 15});
	t.is(free(settled.ledger), 85);
});

test('a claim beyond the rights changes nothing and tells what is missing', t => {
	const {ledger, reply} = play(funded(30), claim());
	t.deepEqual(reply, {type: 'short', missing: 10});
	t.is(free(ledger), 30);
});

test('the same message again is the same run; another attempt is pointed to it', t => {
	const {ledger} = play(funded(), claim());
	t.is(play(ledger, claim()).reply.type, 'run');
	t.is(play(ledger, claim({attempt: 'second'})).reply.type, 'attach');
	t.is(free(play(ledger, claim()).ledger), 60);
});

test('a retry of a finished request gets its answer and its bill', t => {
	const {ledger} = playAll(funded(), [claim(), settle()]);
	const {reply} = play(ledger, claim({attempt: 'second'}));
	t.like(reply, {type: 'answer', bill: 15, answer: {body: 'the answer'}});
});

test('a second settlement changes neither the bill nor the rights', t => {
	const {ledger, reply} = playAll(funded(), [claim(), settle(), settle({served: 30})]);
	t.deepEqual(reply, {type: 'settled', bill: 15});
	t.is(free(ledger), 85);
});

test('the same key with other content is a conflict', t => {
	const {ledger} = play(funded(), claim());
	t.like(play(ledger, claim({fingerprint: 'other'})).reply, {type: 'refused', refusal: {code: 'key_conflict'}});
});

test('the same key under another budget is another request', t => {
	const rich = applyOp(funded(), {type: 'grant', budget: 'other', granted: 100});
	const {ledger} = playAll(rich, [claim(), settle()]);
	t.is(play(ledger, claim({budget: 'other'})).reply.type, 'run');
});

test('what may not be repeated is not run again after contact was lost', t => {
	const {ledger} = playAll(funded(), [claim(), settle({outcome: 'lost', served: 0})]);
	t.like(play(ledger, claim({attempt: 'second'})).reply, {type: 'refused', refusal: {code: 'outcome_unknown', ran: 'unknown'}});
	t.is(free(ledger), 60, 'the reservation stays, since it may still be running');
});

test('what may not be repeated is not run again after it broke off', t => {
	const {ledger} = playAll(funded(), [claim(), settle({outcome: 'failed', served: 7})]);
	t.like(play(ledger, claim({attempt: 'second'})).reply, {type: 'refused', refusal: {ran: 'ran'}});
	t.is(free(ledger), 93);
});

test('what surely did not run may run, also where it may not be repeated', t => {
	const {ledger} = playAll(funded(), [claim(), settle({outcome: 'not_run', served: 0})]);
	t.is(free(ledger), 100);
	t.like(play(ledger, claim({attempt: 'second'})).reply, {type: 'run', run: {number: 2}});
});

test('what may be repeated runs again after contact was lost, on rights of its own, and is billed once', t => {
	const requests = [claim({repeatable: true}), settle({outcome: 'lost', served: 0}), claim({repeatable: true, attempt: 'second'})];
	const again = playAll(funded(), requests);
	t.is(free(again.ledger), 20, 'both runs are reserved for');
	const ended = playAll(again.ledger, [settle({run: 2, served: 20}), settle({run: 1, served: 12})]);
	t.deepEqual(ended.reply, {type: 'settled', bill: 20});
	const account = ended.ledger.accounts.get('b')!;
	t.like(account, {
		reserved: 0, settled: 32, billed: 20, wasted: 12,
	});
});

test('time frees no reservation: a run that nobody could resolve is charged', t => {
	const {ledger} = play(funded(), claim());
	const over = play(ledger, {type: 'expire'}, 1001);
	t.is(over.ledger.claims.size, 0);
	t.is(free(over.ledger), 60);
	t.like(over.ledger.accounts.get('b'), {settled: 40, billed: 0, wasted: 40});
});

test('after a loss of the ledger, what may not be repeated runs only under a key that is surely newer', t => {
	const forgetful = applyOp(emptyLedger('x#2', 500), {type: 'grant', budget: 'b', granted: 100});
	t.like(play(forgetful, claim()).reply, {type: 'refused', refusal: {code: 'outcome_unknown'}});
	t.like(play(forgetful, claim({keyMadeAt: 400})).reply, {type: 'refused', refusal: {code: 'outcome_unknown'}});
	t.is(play(forgetful, claim({keyMadeAt: 600})).reply.type, 'run');
	t.is(play(forgetful, claim({repeatable: true})).reply.type, 'run');
});

test('an endpoint that served beyond the reservation shows as overspend, and nothing more is admitted', t => {
	const {ledger} = playAll(funded(40), [claim(), settle({served: 55})]);
	t.is(free(ledger), -15);
	t.is(play(ledger, claim({key: 'other', worstCase: 1})).reply.type, 'short');
});

/**
Nobody saw it: found by looking for the cause of an overspend by hand-backs between entry hosts in `deckwheeld` as well.

Order of events: a primary asks another hall for rights. Before the reply comes, its pair is lost and the hall's next generation
begins with an empty ledger, on the same host. The reply tells the total that was ever given to the earlier generation, and the
next one credits itself with all of it, though what the earlier one held is charged.

Cause: what arrives did not say for which holder it is. Evidence: this test, and the model of step-replica.test.ts since
it delivers a reply to whoever is primary then (with SEED=1 it fails after 2,085 sequences); before, the model took a reply
only to the holder that had asked.
*/
test('rights that another holder asked for are not credited', t => {
	const ledger = emptyLedger('x#2');
	const receive = (to: string): SlotRequest => ({
		type: 'receive', budget: 'b', to, from: 'y#1', total: 500,
	});
	t.deepEqual(decideSlotRequest(ledger, receive('x#1'), 0).ops, []);
	t.is(decideSlotRequest(ledger, receive('x#2'), 0).ops.length, 1);
});
