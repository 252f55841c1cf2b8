import test from 'ava';
import {chooseEndpoint} from '../endpoints/choose-endpoint.js';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import type {CostRequest} from '../ratings/cost-request.js';
import {rateByCost} from '../ratings/rate-by-cost.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';

const info = (id: string, changes = {}) => ({
	id, hall: 'hall-a', serves: ['m'], slots: 2, isLeaving: false, ...changes,
});

const request: CostRequest = {
	target: 'm', hall: 'hall-a', priority: 'normal', quickShare: 0, cachedTokens: () => 0, promptTokens: 100, tried: [],
};

const play = (table: EndpointTable, events: readonly EndpointEvent[], now = 0): EndpointTable => {
	let next = table;
	for (const event of events) {
		next = stepEndpoints(next, event, now);
	}

	return next;
};

const two = play(new Map(), [{type: 'configured', endpoints: [info('a'), info('b')]}]);
const fail: readonly EndpointEvent[] = [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}];

test('an endpoint that fails three times in a row is left alone, then probed by one request', t => {
	const failed = play(two, [...fail, ...fail, ...fail]);
	t.is(chooseEndpoint(failed, request, 500, rateByCost)?.endpoint, 'b');
	const later = 2000;
	t.is(chooseEndpoint(failed, {...request, tried: ['b']}, later, rateByCost)?.endpoint, 'a');
	const probed = play(failed, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(probed, {...request, tried: ['b']}, later, rateByCost), undefined);
});

test('a leaving or tried endpoint gets nothing new', t => {
	const leaving = play(two, [{type: 'configured', endpoints: [info('a', {isLeaving: true}), info('b')]}]);
	t.is(chooseEndpoint(leaving, request, 0, rateByCost)?.endpoint, 'b');
	t.is(chooseEndpoint(leaving, {...request, tried: ['b']}, 0, rateByCost), undefined);
});

test('the less loaded endpoint is chosen, and a cached prompt weighs against load', t => {
	const busy = play(two, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(busy, request, 0, rateByCost)?.endpoint, 'b');
	const long = {...request, promptTokens: 1000, cachedTokens: (endpoint: string) => endpoint === 'a' ? 1000 : 0};
	t.is(chooseEndpoint(busy, long, 0, rateByCost)?.endpoint, 'a');
});

test('a report of others\' load counts, and this host\'s own requests are not counted twice', t => {
	const reported = play(two, [{type: 'started', endpoint: 'a'}, {type: 'reported', endpoint: 'a', total: 1}]);
	t.regex(chooseEndpoint(reported, {...request, tried: ['b']}, 0, rateByCost)!.reason, /load=1\/2/);
});
