import test from 'ava';
import type {DemandView} from '../hold-ahead/demand-view.js';
import {holdAheadByRate} from '../hold-ahead/hold-ahead-by-rate.js';

const holdAhead = holdAheadByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});
const view: DemandView = {
	tokensPerSecond: 5000, unallocated: 1e6, remaining: 1e6, demandShare: 0.125, holders: 8,
};

test('holds a time of its own demand where much remains', t => {
	t.is(holdAhead({...view, remaining: 2_000_000}), 40_000);
});

test('holds a part of what remains, by its part of the demand', t => {
	t.is(holdAhead({...view, remaining: 800_000}), 35_000);
});

test('a holder with little demand holds a part ready all the same', t => {
	t.is(holdAhead({...view, tokensPerSecond: 1000}), 13_125);
});
