import test from 'ava';
import type {AttemptEnd} from '../lib/request/attempt-end.js';
import {decideNextStep} from '../lib/request/decide-next-step.js';
import type {NextStep} from '../lib/request/next-step.js';
import {noProgress} from '../lib/request/no-progress.js';

const giveUp: NextStep = {type: 'give_up'};
const passOn: NextStep = {type: 'pass_on'};
const elsewhere = (needs: 'nothing' | 'retry' | 'retry_and_rights', otherwise: 'give_up' | 'pass_on' = 'give_up'): NextStep =>
	({type: 'send_elsewhere', needs, otherwise});

const decide = (end: AttemptEnd['type'], {isRepeatable = true, isOver = false, arrivals = 1, unsent = 1} = {}): NextStep =>
	decideNextStep({
		end, progress: {...noProgress, arrivals, unsent}, maxAttempts: 2, isRepeatable, isOver,
	});

test('a request that may run once goes elsewhere only if it surely did not run', t => {
	const once = {isRepeatable: false};
	t.deepEqual(decide('unsent', once), elsewhere('nothing'));
	t.deepEqual(decide('not_run', once), elsewhere('retry'));
	t.deepEqual(decide('lost', once), giveUp);
	t.deepEqual(decide('server_error', once), passOn);
});

test('a request that may run again needs rights for one more run', t => {
	t.deepEqual(decide('lost'), elsewhere('retry_and_rights'));
	t.deepEqual(decide('server_error'), elsewhere('retry_and_rights', 'pass_on'));
});

test('nothing is sent again after the route\'s last attempt, the deadline, or a caller that left', t => {
	for (const change of [{arrivals: 2}, {isOver: true}]) {
		t.deepEqual(decide('not_run', change), giveUp);
		t.deepEqual(decide('lost', change), giveUp);
		t.deepEqual(decide('server_error', change), passOn);
	}
});

test('endpoints that take no connection are tried up to a bound', t => {
	t.deepEqual(decide('unsent', {unsent: 3}), elsewhere('nothing'));
	t.deepEqual(decide('unsent', {unsent: 4}), giveUp);
});

test('whole answers are passed on, streams are finished', t => {
	t.deepEqual(decide('whole'), passOn);
	t.deepEqual(decide('streamed'), {type: 'finish'});
});
