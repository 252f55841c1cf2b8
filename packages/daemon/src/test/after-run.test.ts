import test from 'ava';
import {mayRetryRun} from '../lib/running/may-retry-run.js';
import {ranAfter} from '../lib/running/ran-after.js';
import {refusalAfterRun} from '../lib/running/refusal-after-run.js';
import {withEarlierRuns} from '../lib/running/with-earlier-runs.js';

const lost = {
	outcome: 'lost', isRepeatable: true, hasOutput: false, deadline: 100, now: 0,
} as const;

test('a run is made again only if it did not run or may run again, before the deadline, while the caller has nothing', t => {
	t.true(mayRetryRun(lost));
	t.false(mayRetryRun({...lost, isRepeatable: false}));
	t.true(mayRetryRun({...lost, outcome: 'not_run', isRepeatable: false}));
	t.false(mayRetryRun({...lost, hasOutput: true}));
	t.false(mayRetryRun({...lost, now: 100}));
});

test('what may not be repeated and was lost stays unknown', t => {
	t.is(refusalAfterRun({outcome: 'lost'}, false).code, 'outcome_unknown');
	t.is(refusalAfterRun({outcome: 'lost'}, true).ran, 'unknown');
	t.is(refusalAfterRun({outcome: 'not_run'}, false).ran, 'not_run');
	t.is(refusalAfterRun({outcome: 'failed'}, true).ran, 'ran');
});

test('a refusal never denies that an earlier run happened', t => {
	const refusal = refusalAfterRun({outcome: 'not_run'}, true);
	t.is(withEarlierRuns(refusal, 'ran')?.ran, 'ran');
	t.is(withEarlierRuns(refusal, 'not_run')?.ran, 'not_run');
	t.is(ranAfter({outcome: 'lost'}), 'unknown');
});
