import test from 'ava';
import type {BudgetRights, HolderRights} from '@deckwheel/ledger';
import {createBudgetPacer} from '../lib/budget-pacing/create-budget-pacer.js';
import {createAccounts} from '../lib/rights/create-accounts.js';

const holder = 'edge-1#2';
const entry = (granted: number, settled: number, rate: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate, settled, billed: settled,
});

type History = {
	/** What ended incarnations of hosts were charged for requests (`billed`), and what they left stranded beyond that, in tokens. */
	readonly ended?: {readonly billed: number; readonly stranded: number};
	/** What the other host was charged for requests, in tokens. */
	readonly otherBilled?: number;
};

const allCrashed = {ended: {billed: 50_000, stranded: 10_000}};

/** Starts the budget pacer of a host at 0 ms, beside another host. `otherRate` is the demand of the other host, in tokens per second. */
const startPacer = ({uncommitted, otherRate, ended, otherBilled = 0}: History & {readonly uncommitted: number; readonly otherRate: number}) => {
	let time = 0;
	const holders = {
		[holder]: entry(0, 0, 0),
		'edge-2#2': entry(otherBilled, otherBilled, otherRate),
		...(ended ? {retired: {...entry(ended.billed + ended.stranded, ended.billed + ended.stranded, 0), billed: ended.billed}} : {}),
	};
	const limit = uncommitted + otherBilled + (ended ? ended.billed + ended.stranded : 0);
	const rights: BudgetRights = {
		organisation: 'org', limit, topUps: [], holders,
	};
	const budgetPacer = createBudgetPacer({
		holder, accounts: createAccounts(), rightsOf: () => rights, startedAt: 0, now: () => time,
	});
	return {
		advanceTo(ms: number) {
			time = ms;
		},
		request(tokens: number) {
			const keptFor = budgetPacer.keptFor('org', tokens, 0);
			if (keptFor === undefined) {
				budgetPacer.note('org', 0, tokens);
			}

			return keptFor;
		},
	};
};

test('after a crash of all hosts, a short budget is paced: small requests are served first, a large one once its allowance is saved up', t => {
	const pacer = startPacer({uncommitted: 20_000, otherRate: 5000, ...allCrashed});
	t.is(pacer.request(1200), undefined);
	t.is(pacer.request(1200), 'later');
	t.is(pacer.request(12_000), 'later');
	pacer.advanceTo(1500);
	t.is(pacer.request(1200), undefined);
	pacer.advanceTo(6000);
	t.is(pacer.request(12_000), undefined);
	pacer.advanceTo(7000);
	t.is(pacer.request(1200), 'later', 'the large request overdrew the allowance');
});

test('20 s after the restart, nothing is kept for later requests', t => {
	const pacer = startPacer({uncommitted: 20_000, otherRate: 5000, ...allCrashed});
	pacer.advanceTo(20_000);
	t.deepEqual([pacer.request(6000), pacer.request(6000), pacer.request(6000)], [undefined, undefined, undefined]);
});

test('a budget that lasts for 20 s anyway is kept from no request', t => {
	const pacer = startPacer({uncommitted: 200_000, otherRate: 5000, ...allCrashed});
	t.deepEqual([pacer.request(9000), pacer.request(9000), pacer.request(9000)], [undefined, undefined, undefined]);
});

test('unless most hosts have crashed, a host that starts keeps nothing for later requests', t => {
	const histories: ReadonlyArray<readonly [string, History]> = [
		['no incarnation has ended', {}],
		['one host of two crashed, and the other still serves', {ended: {billed: 50_000, stranded: 10_000}, otherBilled: 60_000}],
		['hosts were shut down as planned, and returned what they held', {ended: {billed: 50_000, stranded: 0}}],
	];
	for (const [description, history] of histories) {
		const pacer = startPacer({uncommitted: 20_000, otherRate: 5000, ...history});
		t.log(description);
		t.deepEqual([pacer.request(6000), pacer.request(6000)], [undefined, undefined]);
	}
});
