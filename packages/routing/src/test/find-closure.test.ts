import test from 'ava';
import type {EndpointEvent} from '../endpoints/endpoint-event.js';
import type {EndpointInfo} from '../endpoints/endpoint-info.js';
import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import {closureOfAll} from '../endpoints/closure-of-all.js';
import {findClosure} from '../endpoints/find-closure.js';
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

const closureAt = (table: EndpointTable, changes: Partial<EndpointRequest>, now: number) => findClosure(table.get('a')!, {...request, ...changes}, now);

test('each reason for which an endpoint gets no request is told', t => {
	const failed = Array.from({length: 3}, () => [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}] as const).flat();
	t.is(closureAt(tableOf(), {}, 0), undefined);
	t.is(closureAt(tableOf({}, [{type: 'started', endpoint: 'a'}, {type: 'configured', endpoints: []}]), {}, 0)?.reason, 'unlisted');
	t.is(closureAt(tableOf(), {target: 'other'}, 0)?.reason, 'other_service');
	t.is(closureAt(tableOf({}, [{type: 'leaving', endpoint: 'a'}]), {}, 0)?.reason, 'leaving');
	t.is(closureAt(tableOf(), {evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(closureAt(tableOf(), {lostHalls: new Set(['hall-a'])}, 0)?.reason, 'out_of_reach');
	t.is(closureAt(tableOf({}, failed), {}, 0)?.reason, 'ejected');
	t.deepEqual(closureAt(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 70}]), {}, 0), {reason: 'resting', until: 70});
});

test('an evacuation holds for the own hall too, a loss of reach does not', t => {
	t.is(closureAt(tableOf(), {hall: 'hall-a', evacuatedHalls: new Set(['hall-a'])}, 0)?.reason, 'evacuated');
	t.is(closureAt(tableOf(), {hall: 'hall-a', lostHalls: new Set(['hall-a'])}, 0), undefined);
});

test('the region has to be in each set that binds the request; one that is not known is in none', t => {
	t.is(closureAt(tableOf(), {regions: [['north', 'south'], ['north']]}, 0), undefined);
	t.is(closureAt(tableOf(), {regions: [['north', 'south'], ['south']]}, 0)?.reason, 'other_region');
	t.is(closureAt(tableOf({region: undefined}), {regions: [['north']]}, 0)?.reason, 'other_region');
	t.is(closureAt(tableOf({region: undefined}), {regions: []}, 0), undefined);
});

test('where no endpoint is open, the one that opens first is told, and an evacuation where waiting is of no use', t => {
	const two = stepEndpoints(tableOf({}, [{type: 'rest_asked', endpoint: 'a', until: 400}]), {
		type: 'configured', endpoints: [info, {
			...info, id: 'b', hall: 'hall-b',
		}],
	}, 0);
	t.is(closureOfAll(two, request, 0), undefined, 'one is open');
	t.deepEqual(closureOfAll(two, {...request, evacuatedHalls: new Set(['hall-b'])}, 0), {reason: 'resting', until: 400});
	t.deepEqual(closureOfAll(two, {...request, evacuatedHalls: new Set(['hall-a', 'hall-b'])}, 0), {reason: 'evacuated'});
	t.is(closureOfAll(two, {...request, target: 'none'}, 0), undefined);
});
