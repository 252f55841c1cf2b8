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

const twoEndpoints = applyEvents(new Map(), [{type: 'configured', endpoints: [info('a'), info('b')]}]);
const failureOfA: readonly EndpointEvent[] = [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a'}];

test('an endpoint that fails three times in a row is ejected, then probed by one request at a time', t => {
	const failed = applyEvents(twoEndpoints, [...failureOfA, ...failureOfA, ...failureOfA]);
	t.is(chooseEndpoint(failed, request, 500, scoreByCost)?.endpoint, 'b');
	const later = 2000;
	t.is(chooseEndpoint(failed, {...request, tried: ['b']}, later, scoreByCost)?.endpoint, 'a');
	const probed = applyEvents(failed, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(probed, {...request, tried: ['b']}, later, scoreByCost), undefined);
});

test('guards against an ejection for one fault: requests that were under way together and failed count as one failure', t => {
	const started: readonly EndpointEvent[] = Array.from({length: 8}, () => ({type: 'started', endpoint: 'a'}));
	const together: readonly EndpointEvent[] = started.map(() => ({type: 'failed', endpoint: 'a', startedAt: 0}));
	const broken = applyEvents(applyEvents(twoEndpoints, started), together, 100);
	t.deepEqual([broken.get('a')!.failures, broken.get('a')!.inFlight], [1, 0]);
	t.is(chooseEndpoint(broken, {...request, tried: ['b']}, 100, scoreByCost)?.endpoint, 'a');
	// One request a moment, each of which fails long after it was sent.
	let ejected = twoEndpoints;
	for (const failsAt of [400, 700, 1000]) {
		ejected = applyEvents(ejected, [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a', startedAt: 0}], failsAt);
	}

	t.is(chooseEndpoint(ejected, {...request, tried: ['b']}, 1000, scoreByCost), undefined, 'an endpoint that fails slowly is ejected');
	const again = [100, 200].flatMap((startedAt): readonly EndpointEvent[] => [{type: 'started', endpoint: 'a'}, {type: 'failed', endpoint: 'a', startedAt}]);
	t.is(chooseEndpoint(applyEvents(broken, again, 200), {...request, tried: ['b']}, 200, scoreByCost), undefined);
});

test('guards against an ejection that outlasts a cut: an endpoint that no request reached for long is probed again within two seconds', t => {
	const unreachedA: readonly EndpointEvent[] = [{type: 'started', endpoint: 'a'}, {type: 'unreached', endpoint: 'a'}];
	const table = applyEvents(twoEndpoints, Array.from({length: 10}, () => unreachedA).flat());
	t.is(chooseEndpoint(table, {...request, tried: ['b']}, 900, scoreByCost), undefined);
	t.is(chooseEndpoint(table, {...request, tried: ['b']}, 2000, scoreByCost)?.endpoint, 'a');
});

test('an endpoint that leaves or was already tried gets no new request', t => {
	const leaving = applyEvents(twoEndpoints, [{type: 'configured', endpoints: [info('a', {isLeaving: true}), info('b')]}]);
	t.is(chooseEndpoint(leaving, request, 0, scoreByCost)?.endpoint, 'b');
	t.is(chooseEndpoint(leaving, {...request, tried: ['b']}, 0, scoreByCost), undefined);
});

test('the endpoint with less load is chosen, unless another one has a long prompt cached', t => {
	const busy = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}]);
	t.is(chooseEndpoint(busy, request, 0, scoreByCost)?.endpoint, 'b');
	const long = {...request, promptTokens: 1000, cachedTokens: (endpoint: string) => endpoint === 'a' ? 1000 : 0};
	t.is(chooseEndpoint(busy, long, 0, scoreByCost)?.endpoint, 'a');
});

test('a load report does not count this host\'s own requests twice', t => {
	const reported = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}, {type: 'reported', endpoint: 'a', total: 1}]);
	t.regex(chooseEndpoint(reported, {...request, tried: ['b']}, 0, scoreByCost)!.reason, /load=1\/2/);
});

// Guards against a count of requests in flight below 0. An endpoint's entry may expire while the store is unavailable. If its requests in
// flight were forgotten with it, each of their ends would be subtracted from 0 once the endpoint is listed again, and the endpoint would
// look less loaded than any other from then on.
test('requests in flight at an endpoint whose entry expired are still counted when it is listed again', t => {
	const open = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}, {type: 'started', endpoint: 'a'}]);
	const lapsed = applyEvents(open, [{type: 'configured', endpoints: [info('b')]}]);
	t.is(chooseEndpoint(lapsed, {...request, tried: ['b']}, 0, scoreByCost), undefined, 'the unlisted endpoint is not chosen');
	const relisted = applyEvents(lapsed, [{type: 'abandoned', endpoint: 'a'}, {type: 'configured', endpoints: [info('a'), info('b')]}]);
	t.is(relisted.get('a')!.inFlight, 1);
	t.is(applyEvents(relisted, [{type: 'abandoned', endpoint: 'a'}]).get('a')!.inFlight, 0);
});

test('an unlisted endpoint is removed when its last request in flight ends', t => {
	const open = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}, {type: 'configured', endpoints: [info('b')]}]);
	t.deepEqual([...open.keys()].sort(), ['a', 'b']);
	t.deepEqual([...applyEvents(open, [{type: 'failed', endpoint: 'a'}]).keys()], ['b']);
});

test('a new incarnation of an endpoint begins with a new state, which late events of the previous one do not change', t => {
	const failed = applyEvents(twoEndpoints, [...failureOfA, ...failureOfA, ...failureOfA, {type: 'started', endpoint: 'a'}]);
	const restarted = applyEvents(failed, [{type: 'configured', endpoints: [info('a@2'), info('b')]}]);
	const fresh = restarted.get('a@2')!;
	t.deepEqual([fresh.inFlight, fresh.startedCount, fresh.failures, fresh.ejectedUntil], [0, 0, 0, 0]);
	t.is(applyEvents(restarted, [{type: 'failed', endpoint: 'a'}]).get('a@2'), fresh);
});

test('an endpoint is ejected at once when a different process responds at its address', t => {
	const gone = applyEvents(twoEndpoints, [{type: 'started', endpoint: 'a'}, {type: 'gone', endpoint: 'a'}]);
	t.is(chooseEndpoint(gone, {...request, tried: ['b']}, 500, scoreByCost), undefined);
});

test('an endpoint that announced that it leaves gets no new request, even if a later list has it as ready', t => {
	const announced = applyEvents(twoEndpoints, [{type: 'leaving', endpoint: 'a'}]);
	const lists: readonly EndpointEvent[] = [{type: 'configured', endpoints: [info('b')]}, {type: 'configured', endpoints: [info('a'), info('b')]}];
	t.is(chooseEndpoint(announced, {...request, tried: ['b']}, 0, scoreByCost), undefined);
	t.is(chooseEndpoint(applyEvents(announced, lists), {...request, tried: ['b']}, 0, scoreByCost), undefined);
	t.is(chooseEndpoint(applyEvents(announced, [{type: 'configured', endpoints: [info('a in its next life')]}]), request, 0, scoreByCost)?.endpoint, 'a in its next life');
});

test('an announcement to leave is forgotten ten minutes after the endpoint was last listed', t => {
	const gone = applyEvents(twoEndpoints, [{type: 'leaving', endpoint: 'a'}, {type: 'configured', endpoints: [info('b')]}]);
	t.true(gone.has('a'));
	t.false(applyEvents(gone, [{type: 'configured', endpoints: [info('b')]}], 600_000).has('a'));
});

test('an endpoint gets no request during its backoff; when all endpoints are in backoff, the first end is returned', t => {
	const oneResting = applyEvents(twoEndpoints, [{type: 'rest_asked', endpoint: 'a', until: 500}]);
	t.is(chooseEndpoint(oneResting, request, 499, scoreByCost)?.endpoint, 'b');
	t.is(chooseEndpoint(oneResting, {...request, tried: ['b']}, 499, scoreByCost), undefined);
	t.is(chooseEndpoint(oneResting, {...request, tried: ['b']}, 500, scoreByCost)?.endpoint, 'a');
	t.is(exclusionOfAll(oneResting, request, 0), undefined);
	const bothResting = applyEvents(oneResting, [{type: 'rest_asked', endpoint: 'b', until: 700}, {type: 'rest_asked', endpoint: 'a', until: 300}]);
	t.deepEqual(exclusionOfAll(bothResting, request, 0), {reason: 'resting', until: 500}, 'a later and shorter backoff does not shorten the one before');
	t.is(exclusionOfAll(bothResting, request, 500), undefined);
	t.is(exclusionOfAll(new Map(), request, 0), undefined);
});

test('a backoff does not end when the endpoint\'s entry expires and is listed again', t => {
	const relisted = applyEvents(twoEndpoints, [
		{type: 'rest_asked', endpoint: 'a', until: 500}, {type: 'configured', endpoints: []}, {type: 'configured', endpoints: [info('a')]},
	]);
	t.is(chooseEndpoint(relisted, request, 499, scoreByCost), undefined);
	t.is(chooseEndpoint(relisted, request, 500, scoreByCost)?.endpoint, 'a');
});
