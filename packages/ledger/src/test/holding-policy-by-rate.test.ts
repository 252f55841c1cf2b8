import test from 'ava';
import type {DemandView} from '../holding-policy/demand-view.js';
import {holdingPolicyByRate} from '../holding-policy/holding-policy-by-rate.js';

const holdingPolicy = holdingPolicyByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3});
const view: DemandView = {
	tokensPerSecond: 5000, fleetTokensPerSecond: 50_000, unallocated: 1e6, remaining: 1e6, demandShare: 0.125, holders: 8,
};

test('a holder holds no more than its own demand over the horizon while much of the budget remains', t => {
	t.is(holdingPolicy({...view, remaining: 2_000_000}), 40_000);
});

test('a holder holds a share of the remaining budget in proportion to its demand', t => {
	t.is(holdingPolicy({...view, remaining: 800_000}), 35_000);
});

test('a holder with little demand still holds its equal part of the idle share', t => {
	t.is(holdingPolicy({...view, tokensPerSecond: 1000}), 13_125);
});

// A host that crashed repeatedly took a tenth of the remaining budget with each incarnation, though the budget had no requests.
test('a holder of an unused budget holds nothing before it has seen a request', t => {
	t.is(holdingPolicy({
		...view, tokensPerSecond: 0, fleetTokensPerSecond: 0, demandShare: 0,
	}), 0);
});

test('a holder of an unused budget that has seen requests holds one of the largest size, for an outage of the store', t => {
	const holdingPolicyOnceUsed = holdingPolicyByRate({shareOfRest: 0.35, horizonSeconds: 8, idleShare: 0.3}, () => 9000);
	const unusedBudget = {
		...view, tokensPerSecond: 0, fleetTokensPerSecond: 0, demandShare: 0,
	};
	t.is(holdingPolicyOnceUsed(unusedBudget), 9000);
	// While little of the budget remains, a holder holds no more than its equal part of the idle share.
	t.is(holdingPolicyOnceUsed({...unusedBudget, remaining: 100_000}), 1313);
});

test('a crash strands no more of a budget that lasts for weeks than the holder\'s part of the demand over the horizon', t => {
	const lastingBudget = {
		...view, remaining: 1e9, tokensPerSecond: 0, fleetTokensPerSecond: 4000, demandShare: 0,
	};
	t.is(holdingPolicy(lastingBudget), 4000 * 8 * 0.3 / 8);
});

// In a simulated day seven hosts together held 3.7 s of the demand on a budget that had 13.7 s of demand left. Once they had spent
// those rights they refused requests until the store was back after 7 s. Hosts lend rights to each other, so only the sum counts.
test('hosts that all lose the store for 7 s hold enough of a budget with 14 s of demand left, and a crash of all leaves 5 s', t => {
	const demand = 40_000;
	const hosts = 7;
	const policy = holdingPolicyByRate({shareOfRest: 0.6, horizonSeconds: 8, idleShare: 0.3});
	const remaining = 14 * demand;
	const held = hosts * policy({
		tokensPerSecond: demand / hosts, fleetTokensPerSecond: demand, unallocated: remaining, remaining, demandShare: 1 / hosts, holders: hosts,
	});
	t.true(held >= 7 * demand, `${held}`);
	t.true(remaining - held >= 5 * demand, `${held}`);
});

// In a simulated day all hosts lost the store for 8.7 s while it had 77 to 90 % of the budgets left, and refused one request in ten.
test('the horizon grows while the store has many unallocated tokens, up to a limit', t => {
	const demand = 40_000;
	const growingHorizon = holdingPolicyByRate({
		shareOfRest: 0.6, horizonSeconds: 8, longRest: {share: 0.3, mostHorizons: 1.75}, idleShare: 0.3,
	});
	const secondsHeld = (lastsSeconds: number): number => {
		const unallocated = lastsSeconds * demand;
		return growingHorizon({
			tokensPerSecond: demand, fleetTokensPerSecond: demand, unallocated, remaining: 1e9, demandShare: 1, holders: 1,
		}) / demand;
	};

	t.is(secondsHeld(0), 8);
	t.is(secondsHeld(20), 8);
	t.is(secondsHeld(40), 12);
	t.is(secondsHeld(1000), 14);
	t.is(growingHorizon({
		tokensPerSecond: demand, fleetTokensPerSecond: 0, unallocated: 1e9, remaining: 1e9, demandShare: 1, holders: 1,
	}), 8 * demand, 'without a recorded rate it is unknown how long the tokens last');
});
