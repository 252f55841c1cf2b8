import test from 'ava';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import {chooseEndpoint} from '../endpoints/choose-endpoint.js';
import {exclusionOfAll} from '../endpoints/exclusion-of-all.js';
import {findExclusion} from '../endpoints/find-exclusion.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';
import {scoreByInFlight} from '../scoring/score-by-in-flight.js';

const info = (id: string) => ({
	id, hall: 'hall-a', serves: ['s'], slots: 2, isLeaving: false,
});

const request = {target: 's', hall: 'hall-a', tried: [] as readonly string[]};

const applyEvents = (table: EndpointTable, events: readonly EndpointEvent[], now = 0): EndpointTable => {
	let next = table;
	for (const event of events) {
		next = stepEndpoints(next, event, now);
	}

	return next;
};

const list = (...ids: readonly string[]): EndpointEvent => ({type: 'configured', endpoints: ids.map(id => info(id))});
const reported: EndpointEvent = {type: 'reported_ended', endpoint: 'a', until: 5000};
const success: EndpointEvent = {
	type: 'succeeded', endpoint: 'a', durationMs: 10, outputTokens: 0,
};
const twoEndpoints = applyEvents(new Map(), [list('a', 'b')]);
const choose = (table: EndpointTable, now: number, tried: readonly string[] = []) => chooseEndpoint(table, {...request, tried}, now, scoreByInFlight)?.endpoint;

test('an endpoint gets requests although another host reported its end, or none after the report expired', t => {
	const table = applyEvents(twoEndpoints, [reported]);
	t.deepEqual(findExclusion(table.get('a')!, request, 0), {reason: 'ended', until: 5000});
	t.is(choose(table, 4999), 'b');
	t.is(choose(table, 5000), 'a');
});

test('a later list that still contains the endpoint ends the exclusion: its entry outlives the process', t => {
	t.is(choose(applyEvents(twoEndpoints, [reported, list('b', 'a')]), 1000), 'b');
});

test('a false report outlives a success of this host', t => {
	const table = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}, reported, success]);
	t.is(findExclusion(table.get('a')!, request, 1000), undefined);
	t.is(applyEvents(table, [{...reported, until: 9000}]).get('a')!.endedUntil, 9000, 'a report after the success counts');
});

test('a report that is repeated keeps an endpoint excluded that has not ended', t => {
	const table = applyEvents(applyEvents(twoEndpoints, [reported]), [{...reported, until: 9000}], 4000);
	t.is(choose(table, 5000), 'a');
	t.is(choose(applyEvents(table, [{...reported, until: 12_000}], 7000), 7000), 'a');
});

test('what this host found itself does not extend a report of another host', t => {
	t.is(choose(applyEvents(twoEndpoints, [reported, {type: 'ended', endpoint: 'a', until: 8000}]), 7999), 'b');
});

// An identifier names one life of an endpoint, so a late report cannot harm the next one.
test('a report of an ended life changes the life that has replaced it', t => {
	const table = applyEvents(twoEndpoints, [list('a@2', 'b')]);
	t.is(applyEvents(table, [reported]), table);
	t.is(choose(applyEvents(table, [reported]), 1000, ['b']), 'a@2');
});

test('a request gets no endpoint although one is left that another host reported as ended', t => {
	const table = applyEvents(twoEndpoints, [reported, {type: 'leaving', endpoint: 'b'}]);
	t.is(choose(table, 1000), 'a');
	t.is(choose(table, 1000, ['a']), undefined);
	t.is(choose(applyEvents(table, [{type: 'leaving', endpoint: 'a'}]), 1000), undefined, 'for another reason, it is excluded for good');
});

test('a caller is told to wait for the end of an exclusion after which the endpoint will still be gone', t => {
	const table = applyEvents(twoEndpoints, [reported, {type: 'rest_asked', endpoint: 'b', until: 8000}]);
	t.deepEqual(exclusionOfAll(table, request, 1000), {reason: 'resting', until: 8000});
	t.is(exclusionOfAll(applyEvents(twoEndpoints, [reported, {type: 'leaving', endpoint: 'b'}]), request, 1000), undefined);
});
