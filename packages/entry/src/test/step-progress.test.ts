import test from 'ava';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import type {AttemptEnd} from '../lib/request/attempt-end.js';
import {initialProgress} from '../lib/request/initial-progress.js';
import type {RequestProgress} from '../lib/request/request-progress.js';
import {stepProgress} from '../lib/request/step-progress.js';

const endpoint: ListedEndpoint = {
	id: 'e1', instance: 'e1', hall: 'hall-b', address: '10.0.0.1:1', serves: ['s'], slots: 1, isLeaving: false,
};
const progressAfter = (end: AttemptEnd, isOver = false): RequestProgress => stepProgress(initialProgress, {
	type: 'ended', endpoint, end, isOver,
});

test('an attempt that reached no endpoint is no arrival, and its hall is avoided unless the request is over', t => {
	t.deepEqual(progressAfter({type: 'unsent'}), {...initialProgress, unsentAttempts: 1, avoidedHalls: ['hall-b']});
	t.deepEqual(progressAfter({type: 'unsent'}, true), {...initialProgress, unsentAttempts: 1});
});

test('an endpoint that did not run the request counts as an arrival, and no run is lost', t => {
	t.deepEqual(progressAfter({type: 'not_run'}), {...initialProgress, arrivals: 1});
});

// The life of the endpoint that was meant has ended, and the process at its address ran nothing.
test('a misdirected attempt counts as an arrival', t => {
	t.deepEqual(progressAfter({type: 'misdirected'}), {...initialProgress, misdirectedAttempts: 1});
});

test('a lost run is counted, and its stream resumes after the last event that the caller got', t => {
	t.deepEqual(progressAfter({type: 'lost', reason: 'lost'}), {...initialProgress, arrivals: 1, lostRuns: 1});
	t.deepEqual(progressAfter({type: 'lost', reason: 'broken', relayed: {type: 'broken', lastId: '7', count: 3}}), {
		...initialProgress, arrivals: 1, lostRuns: 1, relayedEvents: 3, begunBy: endpoint, lastEventId: '7',
	});
});

test('the run of an error response that is dropped counts as lost', t => {
	t.is(stepProgress(initialProgress, {type: 'error_dropped'}).lostRuns, 1);
});
