import test from 'ava';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import type {AttemptEnd} from '../lib/request/attempt-end.js';
import {noProgress} from '../lib/request/no-progress.js';
import type {RequestProgress} from '../lib/request/request-progress.js';
import {stepProgress} from '../lib/request/step-progress.js';

const endpoint: ListedEndpoint = {
	id: 'e1', instance: 'e1', hall: 'hall-b', address: '10.0.0.1:1', serves: ['s'], slots: 1, isLeaving: false,
};
const after = (end: AttemptEnd, isOver = false): RequestProgress => stepProgress(noProgress, {
	type: 'ended', endpoint, end, isOver,
});

test('a try that reached no endpoint is no arrival, and its hall is avoided', t => {
	t.deepEqual(after({type: 'unsent'}), {...noProgress, unsent: 1, avoidedHalls: ['hall-b']});
	t.deepEqual(after({type: 'unsent'}, true), {...noProgress, unsent: 1});
});

test('an endpoint that did not run the request counts as an arrival, and no run is lost', t => {
	t.deepEqual(after({type: 'not_run'}), {...noProgress, arrivals: 1});
});

test('a lost run is counted, and a stream goes on after what the caller got', t => {
	t.deepEqual(after({type: 'lost', reason: 'lost'}), {...noProgress, arrivals: 1, lostRuns: 1});
	t.deepEqual(after({type: 'lost', reason: 'broken', relayed: {type: 'broken', lastId: '7', count: 3}}), {
		...noProgress, arrivals: 1, lostRuns: 1, events: 3, lastEventId: '7',
	});
});

test('an error that is not passed on is a lost run', t => {
	t.is(stepProgress(noProgress, {type: 'error_dropped'}).lostRuns, 1);
});
