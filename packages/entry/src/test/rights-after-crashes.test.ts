import test from 'ava';
import {
	holdingPolicyByRate, unallocated, type DrawPlan, type RightsObject,
} from '@deckwheel/ledger';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {holdingPolicySettings} from '../lib/rights/holding-policy-settings.js';
import type {HostAccount} from '../lib/rights/host-account.js';
import {planDrawAmount} from '../lib/rights/plan-draw-amount.js';
import {planSlotWrite} from '../lib/rights-store/plan-slot-write.js';
import {prepareRights} from '../lib/rights-store/prepare-rights.js';

const budget = 'org';
const limit = 1_000_000;
const host = 'edge-1';
const limits = new Map([[budget, limit]]);
const holdingPolicy = holdingPolicyByRate(holdingPolicySettings);

const write = (rights: RightsObject, holder: string, account: HostAccount, isRetiring: boolean): Extract<DrawPlan, {type: 'write'}> => {
	const plan = planSlotWrite({
		host,
		holder,
		rights,
		limits,
		version: 1,
		accountOf: () => account,
		isEntryNeeded: () => true,
		drawAmountOf: () => (view, budgetRights) => planDrawAmount({
			account, available: account.granted - account.settled, missing: 0, view, rights: budgetRights, holder, holdingPolicy, isAllocator: true, isDrawPaused: isRetiring,
		}),
	});
	if (plan.type !== 'write') {
		throw new Error('deposed');
	}

	return plan;
};

/** Plays one incarnation of a host: it draws ahead of its demand, spends some tokens, reports them, and crashes. */
const runIncarnation = (rights: RightsObject, holder: string, spent: number): RightsObject => {
	const drawn = write(rights, holder, emptyHostAccount, false);
	const {granted} = drawn.grants[0]!;
	return write(drawn.rights, holder, {...emptyHostAccount, granted, settled: spent}, true).rights;
};

test('repeated crashes of a host leave most of a hardly spent budget to be drawn', t => {
	let rights: RightsObject = {budgets: {}};
	for (let incarnation = 0; incarnation < 10; incarnation++) {
		rights = runIncarnation(rights, `${host}#${incarnation}`, 1000);
	}

	const {budgets} = prepareRights(rights, {
		host, holder: `${host}#last`, limits, version: 1,
	});
	const left = unallocated(budgets[budget]!);
	t.true(left >= limit * 0.9, `${left} of ${limit} tokens can still be drawn; 10,000 were spent`);
});
