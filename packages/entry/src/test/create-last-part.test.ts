import test from 'ava';
import type {BudgetRights, HolderRights} from '@deckwheel/ledger';
import {createLastPart} from '../lib/last-part/create-last-part.js';
import {createAccounts} from '../lib/rights/create-accounts.js';

const holder = 'edge-1#2';
const entry = (granted: number, settled: number, rate: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate, settled, billed: settled,
});

/** A host that starts at 0 ms, beside another one that does. What is left of the budget and the demand of the other host are given. */
const start = ({left, otherRate, hasEndedLives}: {left: number; otherRate: number; hasEndedLives: boolean}) => {
	let time = 0;
	const holders = {
		[holder]: entry(0, 0, 0), 'edge-2#2': entry(0, 0, otherRate), ...(hasEndedLives ? {retired: entry(50_000, 50_000, 0)} : {}),
	};
	const limit = left + (hasEndedLives ? 50_000 : 0);
	const rights: BudgetRights = {
		organisation: 'org', limit, topUps: [], holders,
	};
	const lastPart = createLastPart({
		holder, accounts: createAccounts(), rightsOf: () => rights, startedAt: 0, now: () => time,
	});
	return {
		at(ms: number) {
			time = ms;
		},
		ask(tokens: number) {
			const kept = lastPart.keptFor('org', tokens, 0);
			if (kept === undefined) {
				lastPart.note('org', 0, tokens);
			}

			return kept;
		},
	};
};

test('after a restart a short budget is spent at a pace: small requests first, a large one once enough was saved up for it', t => {
	const host = start({left: 20_000, otherRate: 5000, hasEndedLives: true});
	t.is(host.ask(600), undefined);
	t.is(host.ask(600), 'later');
	t.is(host.ask(6000), 'later');
	host.at(1500);
	t.is(host.ask(600), undefined);
	host.at(6000);
	t.is(host.ask(6000), undefined);
	host.at(7000);
	t.is(host.ask(600), 'later', 'the large one went ahead of the pace');
});

test('20 s after the restart nothing is kept for later', t => {
	const host = start({left: 20_000, otherRate: 5000, hasEndedLives: true});
	host.at(20_000);
	t.deepEqual([host.ask(6000), host.ask(6000), host.ask(6000)], [undefined, undefined, undefined]);
});

test('a budget that lasts that long anyway is not kept from anybody', t => {
	const host = start({left: 200_000, otherRate: 5000, hasEndedLives: true});
	t.deepEqual([host.ask(9000), host.ask(9000), host.ask(9000)], [undefined, undefined, undefined]);
});

test('where no life has ended yet, the start of a host keeps nothing for later', t => {
	const host = start({left: 20_000, otherRate: 5000, hasEndedLives: false});
	t.deepEqual([host.ask(6000), host.ask(6000)], [undefined, undefined]);
});
