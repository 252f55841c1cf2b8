import test from 'ava';
import type {DemandView} from '../demand-view.js';
import {holdAheadByRate} from '../hold-ahead-by-rate.js';

const holdAhead = holdAheadByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});
const view: DemandView = {
	tokensPerSecond: 5000, available: 0, missing: 0, unallocated: 1e6, remaining: 1e6, demandShare: 0.125, halls: 8, typicalTokens: 15_000,
};

test('holds a time of its own demand where much remains', t => {
	t.is(holdAhead({...view, remaining: 2_000_000}), 40_000);
});

test('holds a part of what remains, by its part of the demand', t => {
	t.is(holdAhead({...view, remaining: 800_000}), 35_000);
});

test('near the end, a part that cannot hold one request is left to whoever has a whole one', t => {
	const nearEnd = {...view, remaining: 100_000, unallocated: 100_000};
	t.is(holdAhead(nearEnd), 0);
	t.is(holdAhead({...nearEnd, missing: 15_000}), 15_000);
});

test('a budget that is drawn on seldom is held ahead all the same: together, holders then outlast a cut', t => {
	t.is(holdAhead({...view, tokensPerSecond: 1000}), 13_125);
});
