import test from 'ava';
import {chooseEndpoint} from '../endpoints/choose-endpoint.js';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import type {CostRequest} from '../scoring/cost-request.js';
import {scoreByCost} from '../scoring/score-by-cost.js';
import {exclusionOfAll} from '../endpoints/exclusion-of-all.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';

const info = (id: string, changes = {}) => ({
	id, hall: 'hall-a', serves: ['m'], slots: 2, isLeaving: false, ...changes,
});

const request: CostRequest = {
	target: 'm', hall: 'hall-a', priority: 'normal', quickShare: 0, cachedTokens: () => 0, promptTokens: 100, tried: [],
};

const applyEvents = (table: EndpointTable, events: readonly EndpointEvent[], now = 0): EndpointTable => {
	let next = table;
	for (const event of events) {
		next = stepEndpoints(next, event, now);
	}

	return next;
};

const two = applyEvents(new Map(), [{type: 'configured', endpoints: [info('a'), info('b')]}]);
const fail: readonly EndpointEvent[] = [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}];

test('an endpoint that fails three times in a row is left alone, then probed by one request', t => {
	const failed = applyEvents(two, [...fail, ...fail, ...fail]);
	t.is(chooseEndpoint(failed, request, 500, scoreByCost)?.endpoint, 'b');
	const later = 2000;
	t.is(chooseEndpoint(failed, {...request, tried: ['b']}, later, scoreByCost)?.endpoint, 'a');
	const probed = applyEvents(failed, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(probed, {...request, tried: ['b']}, later, scoreByCost), undefined);
});

test('a leaving or tried endpoint gets nothing new', t => {
	const leaving = applyEvents(two, [{type: 'configured', endpoints: [info('a', {isLeaving: true}), info('b')]}]);
	t.is(chooseEndpoint(leaving, request, 0, scoreByCost)?.endpoint, 'b');
	t.is(chooseEndpoint(leaving, {...request, tried: ['b']}, 0, scoreByCost), undefined);
});

test('the less loaded endpoint is chosen, and a cached prompt weighs against load', t => {
	const busy = applyEvents(two, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(busy, request, 0, scoreByCost)?.endpoint, 'b');
	const long = {...request, promptTokens: 1000, cachedTokens: (endpoint: string) => endpoint === 'a' ? 1000 : 0};
	t.is(chooseEndpoint(busy, long, 0, scoreByCost)?.endpoint, 'a');
});

test('a report of others\' load counts, and this host\'s own requests are not counted twice', t => {
	const reported = applyEvents(two, [{type: 'started', endpoint: 'a'}, {type: 'reported', endpoint: 'a', total: 1}]);
	t.regex(chooseEndpoint(reported, {...request, tried: ['b']}, 0, scoreByCost)!.reason, /load=1\/2/);
});

// The entry of an endpoint may lapse while the store is away. Its open requests were forgotten with it and, once it was listed
// again, each of their ends was taken off a count of 0: the endpoint looked emptier than any other from then on.
test('what is open at an endpoint whose entry lapsed counts when it is listed again, and when it ends', t => {
	const open = applyEvents(two, [{type: 'started', endpoint: 'a'}, {type: 'started', endpoint: 'a'}]);
	const lapsed = applyEvents(open, [{type: 'configured', endpoints: [info('b')]}]);
	t.is(chooseEndpoint(lapsed, {...request, tried: ['b']}, 0, scoreByCost), undefined, 'it is not chosen meanwhile');
	const back = applyEvents(lapsed, [{type: 'abandoned', endpoint: 'a'}, {type: 'configured', endpoints: [info('a'), info('b')]}]);
	t.is(back.get('a')!.inFlight, 1);
	t.is(applyEvents(back, [{type: 'abandoned', endpoint: 'a'}]).get('a')!.inFlight, 0);
});

test('an endpoint that is no longer listed is forgotten with the last request that is open there', t => {
	const open = applyEvents(two, [{type: 'started', endpoint: 'a'}, {type: 'configured', endpoints: [info('b')]}]);
	t.deepEqual([...open.keys()].sort(), ['a', 'b']);
	t.deepEqual([...applyEvents(open, [{type: 'failed', endpoint: 'a'}]).keys()], ['b']);
});

test('a new life begins with nothing of the one before, and what comes late of that changes nothing of it', t => {
	const failed = applyEvents(two, [...fail, ...fail, ...fail, {type: 'started', endpoint: 'a'}]);
	const restarted = applyEvents(failed, [{type: 'configured', endpoints: [info('a@2'), info('b')]}]);
	const fresh = restarted.get('a@2')!;
	t.deepEqual([fresh.inFlight, fresh.startedCount, fresh.failures, fresh.ejectedUntil], [0, 0, 0, 0]);
	t.is(applyEvents(restarted, [{type: 'failed', endpoint: 'a'}]).get('a@2'), fresh);
});

test('an endpoint at whose address another process answers is left alone at once', t => {
	const gone = applyEvents(two, [{type: 'started', endpoint: 'a'}, {type: 'gone', endpoint: 'a'}]);
	t.is(chooseEndpoint(gone, {...request, tried: ['b']}, 500, scoreByCost), undefined);
});

test('an endpoint that says that it leaves gets nothing new, whatever is listed, and though its entry lapses meanwhile', t => {
	const announced = applyEvents(two, [{type: 'leaving', endpoint: 'a'}]);
	const lists: readonly EndpointEvent[] = [{type: 'configured', endpoints: [info('b')]}, {type: 'configured', endpoints: [info('a'), info('b')]}];
	t.is(chooseEndpoint(announced, {...request, tried: ['b']}, 0, scoreByCost), undefined);
	t.is(chooseEndpoint(applyEvents(announced, lists), {...request, tried: ['b']}, 0, scoreByCost), undefined);
	t.is(chooseEndpoint(applyEvents(announced, [{type: 'configured', endpoints: [info('a in its next life')]}]), request, 0, scoreByCost)?.endpoint, 'a in its next life');
});

test('its word is forgotten some time after its entry went', t => {
	const gone = applyEvents(two, [{type: 'leaving', endpoint: 'a'}, {type: 'configured', endpoints: [info('b')]}]);
	t.true(gone.has('a'));
	t.false(applyEvents(gone, [{type: 'configured', endpoints: [info('b')]}], 600_000).has('a'));
});

test('an endpoint that asked for rest gets nothing until its end; where all did, the first end is known', t => {
	const oneResting = applyEvents(two, [{type: 'rest_asked', endpoint: 'a', until: 500}]);
	t.is(chooseEndpoint(oneResting, request, 499, scoreByCost)?.endpoint, 'b');
	t.is(chooseEndpoint(oneResting, {...request, tried: ['b']}, 499, scoreByCost), undefined);
	t.is(chooseEndpoint(oneResting, {...request, tried: ['b']}, 500, scoreByCost)?.endpoint, 'a');
	t.is(exclusionOfAll(oneResting, request, 0), undefined);
	const bothResting = applyEvents(oneResting, [{type: 'rest_asked', endpoint: 'b', until: 700}, {type: 'rest_asked', endpoint: 'a', until: 300}]);
	t.deepEqual(exclusionOfAll(bothResting, request, 0), {reason: 'resting', until: 500}, 'a later word does not shorten what was asked for');
	t.is(exclusionOfAll(bothResting, request, 500), undefined);
	t.is(exclusionOfAll(new Map(), request, 0), undefined);
});

test('an entry that lapses during a rest does not end it', t => {
	const back = applyEvents(two, [
		{type: 'rest_asked', endpoint: 'a', until: 500}, {type: 'configured', endpoints: []}, {type: 'configured', endpoints: [info('a')]},
	]);
	t.is(chooseEndpoint(back, request, 499, scoreByCost), undefined);
	t.is(chooseEndpoint(back, request, 500, scoreByCost)?.endpoint, 'a');
});
