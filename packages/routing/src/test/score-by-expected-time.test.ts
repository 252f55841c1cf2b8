import test from 'ava';
import type {EndpointInfo} from '../endpoints/endpoint-info.js';
import type {EndpointLoad} from '../load/endpoint-load.js';
import {scoreByExpectedTime} from '../scoring/score-by-expected-time.js';
import {stepEndpoints} from '../endpoints/step-endpoints.js';

const idle: EndpointLoad = {
	open: 0, pendingPromptTokens: 0, pace: 1, ageMs: 100,
};

type Case = {
	readonly info?: Partial<EndpointInfo>;
	readonly load?: Partial<EndpointLoad>;
	readonly cached?: number;
	readonly promptTokens?: number;
	readonly avoidedHalls?: readonly string[];
	readonly typicalResponseMs?: number;
};

/** A prompt of which most is shared, and the tokens of that part. */
const longPrompt = 9190;
const sharedPart = 6300;

const scoreOf = ({info, load, cached = 0, promptTokens = 0, avoidedHalls = [], typicalResponseMs}: Case) => {
	const endpoint: EndpointInfo = {
		id: 'e', hall: 'a', serves: ['s'], slots: 16, isLeaving: false, ...info,
	};
	const state = stepEndpoints(new Map(), {type: 'configured', endpoints: [endpoint]}, 0).get('e')!;
	const warmup = {warmupMs: 0, reopenedAt: new Map<string, number>(), isSender: () => true};
	return scoreByExpectedTime(state, {
		target: 's', hall: 'a', tried: [], avoidedHalls, promptTokens, cachedTokens: () => cached, loadOf: () => ({...idle, ...load}), warmup, typicalResponseMs,
	}, 0);
};

test('prompt tokens that the request has to wait for cost less than those that it has others wait for, and twice as much at half the pace', t => {
	const own = scoreOf({promptTokens: 1000}).cost;
	const pending = scoreOf({load: {pendingPromptTokens: 1000}}).cost;
	t.true(pending > scoreOf({}).cost);
	t.true(own > pending);
	t.true(own - scoreOf({}).cost < 2 * (pending - scoreOf({}).cost));
	t.is(scoreOf({load: {pace: 2}, promptTokens: 1000}).cost, 2 * own);
	t.is(scoreOf({promptTokens: 1000, cached: 400}).cost, scoreOf({promptTokens: 600}).cost);
});

test('without a prompt, the endpoint with fewer open requests costs less, and of two idle ones the faster one', t => {
	t.true(scoreOf({load: {open: 1}}).cost < scoreOf({load: {open: 2}}).cost);
	t.true(scoreOf({load: {pace: 0.7}}).cost < scoreOf({}).cost);
});

// Guards against prefixes that move from one endpoint to the next with each disturbance, and are read anew at each of them.
test('an endpoint that is 2.5 times as slow for a moment keeps the prompts whose shared part it has cached', t => {
	const open = 3;
	const slowed = scoreOf({load: {open, pace: 2.5}, promptTokens: longPrompt, cached: sharedPart});
	t.true(slowed.cost < scoreOf({load: {open}, promptTokens: longPrompt}).cost);
});

test('an endpoint loses the prompts that it has cached when what waits there takes as long as to read them elsewhere, for the request and those behind it', t => {
	const elsewhere = scoreOf({promptTokens: longPrompt}).cost;
	const pending = (tokens: number): number => scoreOf({load: {pendingPromptTokens: tokens}, promptTokens: longPrompt, cached: sharedPart}).cost;
	t.true(pending(sharedPart) < elsewhere);
	t.true(pending((1.6 * sharedPart) - 300) < elsewhere);
	t.true(pending((1.6 * sharedPart) + 300) > elsewhere);
});

test('an endpoint has capacity up to its slots, whatever is cached there', t => {
	t.true(scoreOf({load: {open: 15}}).hasCapacity);
	t.false(scoreOf({load: {open: 16}}).hasCapacity);
	t.true(scoreOf({info: {slots: 17}, load: {open: 16}}).hasCapacity);
});

test('endpoints in other halls, in halls out of reach and cold ones cost more than idle ones of the own hall, in this order', t => {
	const costs = [scoreOf({}), scoreOf({info: {hall: 'b'}}), scoreOf({info: {hall: 'b'}, avoidedHalls: ['b']})].map(({cost}) => cost);
	t.deepEqual(costs, costs.toSorted((a, b) => a - b));
	t.is(new Set(costs).size, costs.length);
	t.false(scoreOf({info: {hall: 'b'}, avoidedHalls: ['b']}).hasCapacity);
	t.true(scoreOf({info: {coldUntil: 1}}).cost > scoreOf({load: {open: 15, pendingPromptTokens: 100_000}}).cost);
});

test('without reports of other hosts, an endpoint is scored by what this host knows, and the reason says so', t => {
	const scored = scoreOf({load: {open: 2, ageMs: undefined}});
	t.is(scored.cost, scoreOf({load: {open: 2}}).cost);
	t.regex(scored.reason(), /open=2 pending=0 pace=1\.00 age_ms=none/);
});

// Guards against hosts that all avoid the endpoints that were busy when a report was made, and crowd the others.
test('open requests of other hosts count less the older their report is, by the time that requests take', t => {
	const costAt = (ageMs: number, open = 8): number => scoreOf({load: {open, ageMs}, typicalResponseMs: 100}).cost;
	t.is(costAt(0), scoreOf({load: {open: 8}}).cost);
	t.true(costAt(50) < costAt(0));
	t.true(costAt(200) < costAt(50));
	t.true(costAt(2000) - scoreOf({}).cost < 0.001);
	// Those that wait for a slot take the places of those that end: of 48 at 16 slots, 32 are left after 100 ms, all of which were reported.
	t.is(costAt(100, 48), costAt(0, 32));
	t.false(scoreOf({load: {open: 48, ageMs: 100}, typicalResponseMs: 100}).hasCapacity);
	t.true(scoreOf({load: {open: 16, ageMs: 100}, typicalResponseMs: 100}).hasCapacity);
});
