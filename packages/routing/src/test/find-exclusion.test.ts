import test from 'ava';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointInfo} from '../endpoints/endpoint-info.js';
import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import {countExclusions} from '../endpoints/count-exclusions.js';
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

test('each exclusion of an endpoint has its own reason', t => {
	const failed = Array.from({length: 3}, () => [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}] as const).flat();
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => false};
	t.is(exclusionAt(tableOf(), {}, 0), undefined);
	t.is(exclusionAt(tableOf({}, [{type: 'started', endpoint: 'a'}, {type: 'configured', endpoints: []}]), {}, 0)?.reason, 'unlisted');
	t.is(exclusionAt(tableOf(), {target: 'other'}, 0)?.reason, 'other_service');
	t.is(exclusionAt(tableOf({version: 'v1'}), {version: 'v2'}, 0)?.reason, 'other_version');
	t.is(exclusionAt(tableOf({}, [{type: 'leaving', endpoint: 'a'}]), {}, 0)?.reason, 'leaving');
	t.is(exclusionAt(tableOf(), {evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(exclusionAt(tableOf(), {unreachableHalls: new Set(['hall-a'])}, 0)?.reason, 'out_of_reach');
	t.is(exclusionAt(tableOf({}, failed), {}, 0)?.reason, 'ejected');
	t.deepEqual(exclusionAt(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 70}]), {}, 0), {reason: 'resting', until: 70});
	t.deepEqual(exclusionAt(tableOf({coldUntil: 300}), {warmup}, 0), {reason: 'cold', until: 300});
});

test('a stream goes on at its own version only, where endpoints that state none are of one version', t => {
	t.is(exclusionAt(tableOf({version: 'v1'}), {version: 'v1'}, 0), undefined);
	t.is(exclusionAt(tableOf({version: 'v1'}), {}, 0), undefined);
	t.is(exclusionAt(tableOf(), {version: ''}, 0), undefined);
	t.is(exclusionAt(tableOf({version: 'v1'}), {version: ''}, 0)?.reason, 'other_version');
	t.is(exclusionAt(tableOf(), {version: 'v1'}, 0)?.reason, 'other_version');
});

test('the exclusion of all endpoints of a version is not ended by an endpoint of another one', t => {
	const table = stepEndpoints(new Map(), {type: 'configured', endpoints: [{...info, version: 'v1', coldUntil: 300}, {...info, id: 'b', version: 'v2'}]}, 0);
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => false};
	t.is(exclusionOfAll(table, {...request, warmup}, 0), undefined);
	t.deepEqual(exclusionOfAll(table, {...request, warmup, version: 'v1'}, 0), {reason: 'cold', until: 300});
});

test('the exclusions of a service are counted by their reason, without open endpoints and those of other services', t => {
	const endpoints = [{version: 'v1'}, {version: 'v1', isLeaving: true}, {version: 'v2'}, {version: 'v2'}, {serves: ['other']}].map((changes, index) => ({...info, id: `e${index}`, ...changes}));
	const table = stepEndpoints(new Map(), {type: 'configured', endpoints}, 0);
	t.deepEqual([...countExclusions(table, {...request, version: 'v1'}, 0)], [['leaving', 1], ['other_version', 2]]);
});

test('an evacuation also excludes endpoints of the host\'s own hall; an unreachable hall never means the own one', t => {
	t.is(exclusionAt(tableOf(), {hall: 'hall-a', evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(exclusionAt(tableOf(), {hall: 'hall-a', unreachableHalls: new Set(['hall-a'])}, 0), undefined);
});

test('an endpoint is excluded unless its region is in every set of allowed regions; an unknown region is in no set', t => {
	t.is(exclusionAt(tableOf(), {regions: [['north', 'south'], ['north']]}, 0), undefined);
	t.is(exclusionAt(tableOf(), {regions: [['north', 'south'], ['south']]}, 0)?.reason, 'other_region');
	t.is(exclusionAt(tableOf({region: undefined}), {regions: [['north']]}, 0)?.reason, 'other_region');
	t.is(exclusionAt(tableOf({region: undefined}), {regions: []}, 0), undefined);
});

test('a cold endpoint gets one request per interval from a sender and none from other hosts; a warm one gets any', t => {
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => true};
	const cold = tableOf({coldUntil: 10_000});
	t.deepEqual(exclusionAt(cold, {warmup}, 0), {reason: 'cold', until: coldRequestIntervalMs}, 'a host that just started may have sent a request in its previous incarnation');
	t.is(exclusionAt(cold, {warmup}, coldRequestIntervalMs), undefined);
	const sent = stepEndpoints(cold, {type: 'started', endpoint: 'a'}, 2000);
	t.deepEqual(exclusionAt(sent, {warmup}, 2000), {reason: 'cold', until: 2000 + coldRequestIntervalMs});
	t.is(exclusionAt(sent, {warmup}, 2000 + coldRequestIntervalMs), undefined);
	t.is(exclusionAt(sent, {warmup: {...warmup, isSender: () => false}}, 10_000), undefined);
	t.is(exclusionAt(sent, {}, 2000), undefined, 'without warm-up rules, a cold endpoint is used like a warm one');
});

test('an endpoint of a reopened hall is cold for the duration of a warm-up, even if it is listed as warm', t => {
	const warmup = {warmupMs: 500, reopenedAt: new Map([['hall-a', 1000]]), isSender: () => false};
	t.deepEqual(exclusionAt(tableOf(), {warmup}, 1499), {reason: 'cold', until: 1500});
	t.is(exclusionAt(tableOf(), {warmup}, 1500), undefined);
});

test('when all endpoints are excluded, the exclusion that ends first is returned, or an evacuation where none has a known end', t => {
	const twoEndpoints = stepEndpoints(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 400}]), {
		type: 'configured', endpoints: [info, {
			...info, id: 'b', hall: 'hall-b', coldUntil: 300,
		}],
	}, 0);
	const warmup = {warmupMs: 500, reopenedAt: new Map<string, number>(), isSender: () => false};
	t.deepEqual(exclusionOfAll(twoEndpoints, {...request, warmup}, 0), {reason: 'cold', until: 300});
	t.is(exclusionOfAll(twoEndpoints, request, 0), undefined, 'one endpoint is not excluded');
	t.deepEqual(exclusionOfAll(twoEndpoints, {...request, evacuatedHalls: new Set(['hall-b'])}, 0), {reason: 'resting', until: 400});
	t.deepEqual(exclusionOfAll(twoEndpoints, {...request, evacuatedHalls: new Set(['hall-a', 'hall-b'])}, 0), {reason: 'evacuated'});
	t.is(exclusionOfAll(twoEndpoints, {...request, target: 'none'}, 0), undefined);
});
