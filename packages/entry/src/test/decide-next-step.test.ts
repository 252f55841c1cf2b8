import test from 'ava';
import type {AttemptEnd} from '../lib/request/attempt-end.js';
import {decideNextStep} from '../lib/request/decide-next-step.js';
import type {NextStep} from '../lib/request/next-step.js';
import {initialProgress} from '../lib/request/initial-progress.js';

const giveUp: NextStep = {type: 'give_up'};
const passOn: NextStep = {type: 'pass_on'};
const sendElsewhere = (needs: 'nothing' | 'retry' | 'retry_and_rights', otherwise: 'give_up' | 'pass_on' = 'give_up'): NextStep =>
	({type: 'send_elsewhere', needs, otherwise});

const decide = (end: AttemptEnd['type'], {isRetryable = true, isOver = false, arrivals = 1, unsentAttempts = 1} = {}): NextStep =>
	decideNextStep({
		end, progress: {...initialProgress, arrivals, unsentAttempts}, maxAttempts: 2, isRetryable, isOver,
	});

test('a request that may run once is sent to another endpoint only if it did not run', t => {
	const runsOnce = {isRetryable: false};
	t.deepEqual(decide('unsent', runsOnce), sendElsewhere('nothing'));
	t.deepEqual(decide('not_run', runsOnce), sendElsewhere('retry'));
	t.deepEqual(decide('lost', runsOnce), giveUp);
	t.deepEqual(decide('server_error', runsOnce), passOn);
});

test('a request that may run more than once is sent to another endpoint only with rights for one more run', t => {
	t.deepEqual(decide('lost'), sendElsewhere('retry_and_rights'));
	t.deepEqual(decide('server_error'), sendElsewhere('retry_and_rights', 'pass_on'));
});

test('no request is retried after the last attempt that its route allows, or once it is over', t => {
	for (const change of [{arrivals: 2}, {isOver: true}]) {
		t.deepEqual(decide('not_run', change), giveUp);
		t.deepEqual(decide('lost', change), giveUp);
		t.deepEqual(decide('server_error', change), passOn);
	}
});

test('attempts at endpoints that accept no connection are bounded', t => {
	t.deepEqual(decide('unsent', {unsentAttempts: 3}), sendElsewhere('nothing'));
	t.deepEqual(decide('unsent', {unsentAttempts: 4}), giveUp);
});

test('a whole response is passed on to the caller, and a whole stream ends the request', t => {
	t.deepEqual(decide('whole'), passOn);
	t.deepEqual(decide('streamed'), {type: 'finish'});
});
