import test from 'ava';
import type {Claim, Run} from '@deckwheel/ledger';
import {decideRecalled} from '../lib/running/decide-recalled.js';

const run = (state: Run['state']): Run => ({
	number: 1, attempt: 'a', runner: 'h~1', endpoint: 'e', reason: '', state, reserved: 10, served: 0, sendBy: 100,
});
const claim: Claim = {
	budget: 'b', key: 'k', fingerprint: 'f', repeatable: true, keepUntil: 1000, runs: [],
};

test('a key without a record may be claimed', t => {
	t.deepEqual(decideRecalled(undefined, {fingerprint: 'f', hasEvents: false}), {type: 'claim', ran: 'not_run'});
});

test('a key of other content is refused, one with an answer gets it', t => {
	t.is(decideRecalled(claim, {fingerprint: 'other', hasEvents: false}).type, 'refuse');
	const answer = {status: 200, contentType: 'text/plain', body: 'x'};
	t.deepEqual(decideRecalled({...claim, answer}, {fingerprint: 'f', hasEvents: false}), {type: 'deliver', answer});
});

test('a run that goes on is attached to, one that was lost leaves the outcome unknown', t => {
	t.is(decideRecalled({...claim, runs: [run('running')]}, {fingerprint: 'f', hasEvents: false}).type, 'attach');
	t.deepEqual(decideRecalled({...claim, runs: [run('lost')]}, {fingerprint: 'f', hasEvents: false}), {type: 'claim', ran: 'unknown'});
	t.deepEqual(decideRecalled({...claim, runs: [run('not_run')]}, {fingerprint: 'f', hasEvents: false}), {type: 'claim', ran: 'not_run'});
});

test('a caller that has got events of a run that ended gets the rest of another run, stored or under way', t => {
	const job = {fingerprint: 'f', hasEvents: true};
	const answer = {status: 200, contentType: 'text/plain', body: 'x'};
	for (const ended of [run('lost'), run('failed')]) {
		t.is(decideRecalled({...claim, runs: [ended]}, job).type, 'refuse');
		t.is(decideRecalled({...claim, runs: [ended, run('running')]}, job).type, 'refuse');
		t.is(decideRecalled({...claim, runs: [ended, run('finished')], answer}, job).type, 'refuse');
	}

	t.is(decideRecalled({...claim, runs: [run('not_run'), run('running')]}, job).type, 'attach');
	t.is(decideRecalled({...claim, runs: [run('finished')], answer}, job).type, 'deliver');
});
