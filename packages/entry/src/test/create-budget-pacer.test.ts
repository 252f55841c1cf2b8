import test from 'ava';
import type {BudgetRights, HolderRights} from '@deckwheel/ledger';
import {createBudgetPacer} from '../lib/budget-pacing/create-budget-pacer.js';
import {createAccounts} from '../lib/rights/create-accounts.js';

const holder = 'edge-1#2';
const entry = (granted: number, settled: number, rate: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate, settled, billed: settled,
});

type Past = {
	/** What ended lives were charged for, and what they left charged beyond that, in tokens. */
	readonly ended?: {readonly billed: number; readonly stranded: number};
	/** What the other host was charged for. */
	readonly otherBilled?: number;
};

const allDied = {ended: {billed: 50_000, stranded: 10_000}};

/** A host that starts at 0 ms, beside another one. What is left of the budget and the demand of the other host are given. */
const start = ({left, otherRate, ended, otherBilled = 0}: Past & {readonly left: number; readonly otherRate: number}) => {
	let time = 0;
	const holders = {
		[holder]: entry(0, 0, 0),
		'edge-2#2': entry(otherBilled, otherBilled, otherRate),
		...(ended ? {retired: {...entry(ended.billed + ended.stranded, ended.billed + ended.stranded, 0), billed: ended.billed}} : {}),
	};
	const limit = left + otherBilled + (ended ? ended.billed + ended.stranded : 0);
	const rights: BudgetRights = {
		organisation: 'org', limit, topUps: [], holders,
	};
	const budgetPacer = createBudgetPacer({
		holder, accounts: createAccounts(), rightsOf: () => rights, startedAt: 0, now: () => time,
	});
	return {
		at(ms: number) {
			time = ms;
		},
		ask(tokens: number) {
			const kept = budgetPacer.keptFor('org', tokens, 0);
			if (kept === undefined) {
				budgetPacer.note('org', 0, tokens);
			}

			return kept;
		},
	};
};

test('after a restart a short budget is spent at a pace: small requests first, a large one once enough was saved up for it', t => {
	const host = start({left: 20_000, otherRate: 5000, ...allDied});
	t.is(host.ask(1200), undefined);
	t.is(host.ask(1200), 'later');
	t.is(host.ask(12_000), 'later');
	host.at(1500);
	t.is(host.ask(1200), undefined);
	host.at(6000);
	t.is(host.ask(12_000), undefined);
	host.at(7000);
	t.is(host.ask(1200), 'later', 'the large one went ahead of the pace');
});

test('20 s after the restart nothing is kept for later', t => {
	const host = start({left: 20_000, otherRate: 5000, ...allDied});
	host.at(20_000);
	t.deepEqual([host.ask(6000), host.ask(6000), host.ask(6000)], [undefined, undefined, undefined]);
});

test('a budget that lasts that long anyway is not kept from anybody', t => {
	const host = start({left: 200_000, otherRate: 5000, ...allDied});
	t.deepEqual([host.ask(9000), host.ask(9000), host.ask(9000)], [undefined, undefined, undefined]);
});

test('where most hosts have not died, the start of a host keeps nothing for later', t => {
	const pasts: ReadonlyArray<readonly [string, Past]> = [
		['no life has ended', {}],
		['one host of two died, and the other serves on', {ended: {billed: 50_000, stranded: 10_000}, otherBilled: 60_000}],
		['hosts were stopped as planned, and gave back what they held', {ended: {billed: 50_000, stranded: 0}}],
	];
	for (const [told, past] of pasts) {
		const host = start({left: 20_000, otherRate: 5000, ...past});
		t.log(told);
		t.deepEqual([host.ask(6000), host.ask(6000)], [undefined, undefined]);
	}
});
