import test from 'ava';
import {chargeOfResult} from '../lib/request/charge-of-result.js';
import {decideOutcome} from '../lib/request/decide-outcome.js';
import {judgeEndpoint} from '../lib/request/judge-endpoint.js';
import {refusalOfResult} from '../lib/request/refusal-of-result.js';

test('the outcome of a request is not_run only if none of its runs was lost', t => {
	const notEndedEarly = {endedBy: undefined, hasResponseBegun: false} as const;
	t.is(decideOutcome({...notEndedEarly, progress: {lostRuns: 0}}), 'not_run');
	t.is(decideOutcome({...notEndedEarly, progress: {lostRuns: 1}}), 'unknown');
	t.is(decideOutcome({...notEndedEarly, progress: {lostRuns: 1}, endedBy: 'deadline'}), 'timed_out');
	t.is(decideOutcome({...notEndedEarly, progress: {lostRuns: 0}, hasResponseBegun: true}), 'broken');
	t.is(decideOutcome({progress: {lostRuns: 0}, endedBy: 'caller_left', hasResponseBegun: true}), 'caller_left');
});

test('each outcome has its status and code, and only the caller of a request that did not run is told when to retry', t => {
	const cases = [
		['not_run', 'deadline', 503, 'deadline_exceeded'],
		['not_run', 'not_run', 503, 'overloaded'],
		['not_run', 'no_endpoint', 503, 'no_endpoint'],
		['not_run', 'host_stopping', 503, 'host_stopping'],
		['unknown', 'host_stopping', 502, 'endpoint_failed'],
		['timed_out', 'lost', 504, 'deadline_exceeded'],
		['unknown', 'lost', 502, 'endpoint_failed'],
		['broken', 'broken', 502, 'endpoint_failed'],
	] as const;
	for (const [outcome, reason, status, code] of cases) {
		const refusal = refusalOfResult({outcome, reason}, 0);
		t.is(refusal.status, status);
		t.is(refusal.code, code);
		t.is(refusal.retryAfterSeconds !== undefined, outcome === 'not_run');
	}
});

const prompt = {inputTokens: 100, maxOutputTokens: 50, parts: []};
const wholeResponse = {
	outcome: 'answered', lostRuns: 0, status: 200, arrivals: 1, outputTokens: 20,
} as const;

test('a request with a whole response is charged what it used, and never more than was reserved', t => {
	t.is(chargeOfResult(wholeResponse, 150, prompt), 120);
	t.is(chargeOfResult({...wholeResponse, outputTokens: 999}, 150, prompt), 150);
});

test('a lost run, an error and a caller that left are charged the whole reservation, and a request that did not run is charged nothing', t => {
	t.is(chargeOfResult({...wholeResponse, lostRuns: 1}, 200, prompt), 200);
	t.is(chargeOfResult({...wholeResponse, status: 500}, 150, prompt), 150);
	t.is(chargeOfResult({...wholeResponse, outcome: 'caller_left'}, 150, prompt), 150);
	t.is(chargeOfResult({...wholeResponse, outcome: 'not_run'}, 150, prompt), 0);
	t.is(chargeOfResult({...wholeResponse, outcome: 'caller_left', arrivals: 0}, 150, prompt), 0);
});

test('a missing response is no failure of its endpoint if the host is late or the request is over', t => {
	const silent = {end: 'lost', isOver: false, isOverloaded: false} as const;
	t.is(judgeEndpoint(silent), 'failed');
	t.is(judgeEndpoint({...silent, isOverloaded: true}), 'abandoned');
	t.is(judgeEndpoint({...silent, isOver: true}), 'abandoned');
	t.is(judgeEndpoint({...silent, end: 'not_run'}), 'abandoned');
	t.is(judgeEndpoint({...silent, end: 'server_error', isOverloaded: true}), 'failed');
});
