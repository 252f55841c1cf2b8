import test from 'ava';
import type {Run} from '@deckwheel/ledger';
import {isOrphanedRun} from '../lib/running/is-orphaned-run.js';

const run: Run = {
	number: 1, attempt: 'a', runner: 'h~1', endpoint: 'e', reason: '', state: 'running', reserved: 10, served: 0, sendBy: 100,
};
const inputs = {
	now: 200, deadline: 1000, clockSkewMs: 50, isRunnerGone: true,
};

test('a run is orphaned once its runner is gone, or its deadline is over', t => {
	t.true(isOrphanedRun(run, inputs));
	t.false(isOrphanedRun(run, {...inputs, isRunnerGone: false}));
	t.true(isOrphanedRun(run, {...inputs, isRunnerGone: false, now: 1051}));
});

test('a run that may still be sent, or that has ended, is nobody\'s orphan', t => {
	t.false(isOrphanedRun(run, {...inputs, now: 150}));
	t.false(isOrphanedRun({...run, state: 'finished'}, inputs));
});
