import test from 'ava';
import {chooseEndpoint} from '../endpoints/choose-endpoint.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';
import {rateByAffinity} from '../ratings/rate-by-affinity.js';

const endpointOf = (id: string, hall: string) => ({
	id, hall, serves: ['s'], slots: 64, isLeaving: false,
});
const idle: EndpointTable = stepEndpoints(new Map(), {type: 'configured', endpoints: [endpointOf('near', 'a'), endpointOf('far', 'b')]}, 0);

const withOpen = (table: EndpointTable, endpoint: string, count: number): EndpointTable => {
	let next = table;
	for (let i = 0; i < count; i++) {
		next = stepEndpoints(next, {type: 'started', endpoint}, 0);
	}

	return next;
};

const choose = (table: EndpointTable, promptTokens: number, cachedAt?: string) => chooseEndpoint(table, {
	target: 's', hall: 'a', promptTokens, tried: [], avoidedHalls: [], cachedTokens: id => id === cachedAt ? promptTokens : 0,
}, 0, rateByAffinity)?.endpoint;

// On days on which a hall was cut off, most lost streams were short ones that had been sent to another hall for a few ms.
test('a cut of the other hall breaks few streams: they cross only where their own hall is much busier', t => {
	let table = idle;
	let crossing = 0;
	for (let i = 0; i < 20; i++) {
		const endpoint = choose(table, 800)!;
		crossing += endpoint === 'far' ? 1 : 0;
		table = withOpen(table, endpoint, 1);
	}

	t.is(crossing, 7);
	t.is(choose(withOpen(idle, 'near', 7), 800), 'far');
});

test('a long prompt goes where its shared part was read, also in another hall', t => {
	t.is(choose(idle, 6000, 'far'), 'far');
	t.is(choose(idle, 1000, 'far'), 'near');
});
