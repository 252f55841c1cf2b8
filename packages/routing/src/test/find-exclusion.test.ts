import test from 'ava';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointInfo} from '../endpoints/endpoint-info.js';
import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import {exclusionOfAll} from '../endpoints/exclusion-of-all.js';
import {coldRequestIntervalMs} from '../endpoints/cold-request-interval-ms.js';
import {findExclusion} from '../endpoints/find-exclusion.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';

const info: EndpointInfo = {
	id: 'a', hall: 'hall-a', serves: ['s'], slots: 2, isLeaving: false, region: 'north',
};

const request: Omit<EndpointRequest, 'tried'> = {target: 's', hall: 'hall-b'};

const tableOf = (changes: Partial<EndpointInfo> = {}, events: readonly EndpointEvent[] = []): EndpointTable => {
	let table = stepEndpoints(new Map(), {type: 'configured', endpoints: [{...info, ...changes}]}, 0);
	for (const event of events) {
		table = stepEndpoints(table, event, 0);
	}

	return table;
};

const exclusionAt = (table: EndpointTable, changes: Partial<EndpointRequest>, now: number) => findExclusion(table.get('a')!, {...request, ...changes}, now);

test('each reason for which an endpoint gets no request is told', t => {
	const failed = Array.from({length: 3}, () => [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}] as const).flat();
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => false};
	t.is(exclusionAt(tableOf(), {}, 0), undefined);
	t.is(exclusionAt(tableOf({}, [{type: 'started', endpoint: 'a'}, {type: 'configured', endpoints: []}]), {}, 0)?.reason, 'unlisted');
	t.is(exclusionAt(tableOf(), {target: 'other'}, 0)?.reason, 'other_service');
	t.is(exclusionAt(tableOf({}, [{type: 'leaving', endpoint: 'a'}]), {}, 0)?.reason, 'leaving');
	t.is(exclusionAt(tableOf(), {evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(exclusionAt(tableOf(), {unreachableHalls: new Set(['hall-a'])}, 0)?.reason, 'out_of_reach');
	t.is(exclusionAt(tableOf({}, failed), {}, 0)?.reason, 'ejected');
	t.deepEqual(exclusionAt(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 70}]), {}, 0), {reason: 'resting', until: 70});
	t.deepEqual(exclusionAt(tableOf({coldUntil: 300}), {warmup}, 0), {reason: 'cold', until: 300});
});

test('an evacuation holds for the own hall too, a loss of reach does not', t => {
	t.is(exclusionAt(tableOf(), {hall: 'hall-a', evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(exclusionAt(tableOf(), {hall: 'hall-a', unreachableHalls: new Set(['hall-a'])}, 0), undefined);
});

test('the region has to be in each set that binds the request; one that is not known is in none', t => {
	t.is(exclusionAt(tableOf(), {regions: [['north', 'south'], ['north']]}, 0), undefined);
	t.is(exclusionAt(tableOf(), {regions: [['north', 'south'], ['south']]}, 0)?.reason, 'other_region');
	t.is(exclusionAt(tableOf({region: undefined}), {regions: [['north']]}, 0)?.reason, 'other_region');
	t.is(exclusionAt(tableOf({region: undefined}), {regions: []}, 0), undefined);
});

test('a cold endpoint gets one request of a sender within the spacing, none of others, and any once it is warm', t => {
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => true};
	const cold = tableOf({coldUntil: 10_000});
	t.deepEqual(exclusionAt(cold, {warmup}, 0), {reason: 'cold', until: coldRequestIntervalMs}, 'a host that just started may have sent in its last life');
	t.is(exclusionAt(cold, {warmup}, coldRequestIntervalMs), undefined);
	const sent = stepEndpoints(cold, {type: 'started', endpoint: 'a'}, 2000);
	t.deepEqual(exclusionAt(sent, {warmup}, 2000), {reason: 'cold', until: 2000 + coldRequestIntervalMs});
	t.is(exclusionAt(sent, {warmup}, 2000 + coldRequestIntervalMs), undefined);
	t.is(exclusionAt(sent, {warmup: {...warmup, isSender: () => false}}, 10_000), undefined);
	t.is(exclusionAt(sent, {}, 2000), undefined, 'without a bound on it, a cold endpoint is used as any other');
});

test('an endpoint of a hall that was reopened is cold for the time of a warm-up, whatever is listed', t => {
	const warmup = {warmupMs: 500, reopenedAt: new Map([['hall-a', 1000]]), isSender: () => false};
	t.deepEqual(exclusionAt(tableOf(), {warmup}, 1499), {reason: 'cold', until: 1500});
	t.is(exclusionAt(tableOf(), {warmup}, 1500), undefined);
});

test('where no endpoint is open, the one that opens first is told, and an evacuation where waiting is of no use', t => {
	const two = stepEndpoints(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 400}]), {
		type: 'configured', endpoints: [info, {
			...info, id: 'b', hall: 'hall-b', coldUntil: 300,
		}],
	}, 0);
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => false};
	t.deepEqual(exclusionOfAll(two, {...request, warmup}, 0), {reason: 'cold', until: 300});
	t.is(exclusionOfAll(two, request, 0), undefined, 'one is open');
	t.deepEqual(exclusionOfAll(two, {...request, evacuatedHalls: new Set(['hall-b'])}, 0), {reason: 'resting', until: 400});
	t.deepEqual(exclusionOfAll(two, {...request, evacuatedHalls: new Set(['hall-a', 'hall-b'])}, 0), {reason: 'evacuated'});
	t.is(exclusionOfAll(two, {...request, target: 'none'}, 0), undefined);
});
