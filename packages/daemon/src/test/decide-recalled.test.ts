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
	t.deepEqual(decideRecalled(undefined, 'f'), {type: 'claim', ran: 'not_run'});
});

test('a key of other content is refused, one with an answer gets it', t => {
	t.is(decideRecalled(claim, 'other').type, 'refuse');
	const answer = {status: 200, contentType: 'text/plain', body: 'x'};
	t.deepEqual(decideRecalled({...claim, answer}, 'f'), {type: 'deliver', answer});
});

test('a run that goes on is attached to, one that was lost leaves the outcome unknown', t => {
	t.is(decideRecalled({...claim, runs: [run('running')]}, 'f').type, 'attach');
	t.deepEqual(decideRecalled({...claim, runs: [run('lost')]}, 'f'), {type: 'claim', ran: 'unknown'});
	t.deepEqual(decideRecalled({...claim, runs: [run('not_run')]}, 'f'), {type: 'claim', ran: 'not_run'});
});
