import test from 'ava';
import type {Organisation} from '../config/organisation.js';
import type {Route} from '../config/route.js';
import {forwardedHeaders} from '../lib/sending/forwarded-headers.js';
import {urgencyOf} from '../lib/sending/urgency-of.js';
import {headerNames} from './lib/header-names.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: 'stream', services: [], timeoutMs: 1000, goalMs: 500, priority: 0, maxAttempts: 1, isPublic: false, isResumable: false,
};
const organisation: Organisation = {name: 'org', limit: undefined, priority: undefined};

const urgency = (organisationPriority: number | undefined, routePriority: number): number =>
	urgencyOf({organisation: {...organisation, priority: organisationPriority}, route: {...route, priority: routePriority}});

const forwarded = (sent: number | undefined): string[] => [...forwardedHeaders({
	raw: ['X-Urgency', '0', 'X-Other', '1'],
	headerNames,
	endpoint: {
		id: 'e@1', instance: 'e', address: '127.0.0.1:1', hall: 'h', serves: [], slots: 1, isLeaving: false,
	},
	organisation: undefined,
	timeLeftMs: 1000,
	bodyBytes: 0,
	lastEventId: undefined,
	hasBody: false,
	urgency: sent,
})];

test('the priority of the organisation comes before that of the route', t => {
	const inOrder = [urgency(0, 0), urgency(0, 2), urgency(1, 0), urgency(1, 2), urgency(2, 0), urgency(2, 2)];
	t.deepEqual(inOrder, inOrder.toSorted((a, b) => a - b));
	t.is(new Set(inOrder).size, inOrder.length);
});

test('an organisation without a priority stands between those that come before others and those that come after them', t => {
	t.is(urgency(undefined, 1), urgency(1, 1));
	t.is(urgencyOf({organisation: undefined, route}), urgency(1, 0));
});

test('priorities out of range give an urgency that endpoints can read', t => {
	for (const priority of [-3, 0.5, 7, 1e9]) {
		const found = urgency(priority, priority);
		t.true(Number.isInteger(found) && found >= 0 && found <= 8, `${priority}: ${found}`);
	}
});

// A caller that set the header itself would put its prompts before those of others.
test('a caller cannot say how urgent its request is', t => {
	t.false(forwarded(undefined).includes('X-Urgency'));
	t.deepEqual(forwarded(4).filter((_, index, all) => all[index - 1] === headerNames.urgency), ['4']);
});
