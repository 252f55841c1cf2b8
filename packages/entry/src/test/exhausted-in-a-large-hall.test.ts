/**
Guards against callers of a used-up budget who are told to return and are refused again: of 720 large requests that were refused with 429 on a
simulated day, every first one came back after 2 s and 354 were refused again; of 171 that were refused with 402, one came back.

In a large hall most hosts read no record of the store, so they could refuse nothing for good.
*/
import test from 'ava';
import {slotOfBudget, type BudgetRights, type HolderRights} from '@deckwheel/ledger';
import {isReportedExhausted} from '../lib/lending/is-reported-exhausted.js';
import {rankAllocators} from '../lib/lending/rank-allocators.js';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {mostTokensLeft} from '../lib/rights/most-tokens-left.js';
import type {HostAccount} from '../lib/rights/host-account.js';
import {slotCount} from '../lib/rights-store/slot-count.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {seedRandom} from './lib/seed-random.js';
import {makeConfig} from './lib/start-host.js';
import {startRightsManagers} from './lib/start-rights-managers.js';
import {startVirtualTimers} from './lib/start-virtual-timers.js';

const hallSize = 6;
const requestTokens = 2000;
/** The last request does not fit: an allocator lends nine tenths of what it has. */
const requestCount = 40;
const limit = (requestCount + 0.25) * requestTokens;
const requestGapMs = 500;

/** Longer than any pause of loans and draws, in ms. */
const pastPausesMs = 2500;

type HostWithRights = ReturnType<typeof startRightsManagers>[number];

type UsedUpHall = {
	/** The hosts that borrow. */
	readonly clients: readonly HostWithRights[];
	/** The host that is asked first. */
	readonly allocator: HostWithRights;
	/** Both hosts that draw. */
	readonly allocators: readonly HostWithRights[];
	/** Tries to reserve a request at several hosts at once, and lets the time between two requests pass. */
	readonly reserveAtAll: (hosts: readonly HostWithRights[]) => Promise<readonly string[]>;
	/** The same at one host. */
	readonly reserve: (host: HostWithRights) => Promise<string>;
	/** Lets time pass without requests. */
	readonly pass: (ms: number) => Promise<void>;
};

/** Uses up the budget of a large hall by requests at one client of it, and goes on as a test wants. */
const playUsedUpHall = async (playMore: (hall: UsedUpHall) => Promise<void>) => {
	const timers = startVirtualTimers();
	const restoreRandom = seedRandom(11);
	const hosts = startRightsManagers(hallSize, createMemoryRightsStore(), limit, timers.now);
	const ranked = rankAllocators(slotOfBudget('org', slotCount), hosts.map(({peer}) => peer), hallSize);
	const clients = hosts.filter(({peer}) => !ranked.includes(peer));
	const outcomes: string[] = [];
	const pass = async (ms: number): Promise<void> => {
		const until = timers.now() + ms;
		while (timers.now() < until) {
			await timers.advanceOneMs();
		}
	};

	const reserveAtAll: UsedUpHall['reserveAtAll'] = async asked => {
		const results = asked.map(async ({rights}) => rights.reserve('org', requestTokens, timers.now() + requestGapMs, undefined));
		await pass(requestGapMs);
		return Promise.all(results);
	};

	const reserve = async (host: HostWithRights): Promise<string> => {
		const [outcome] = await reserveAtAll([host]);
		return outcome!;
	};

	for (let request = 0; request < 3 * requestCount; request++) {
		outcomes.push(await reserve(clients[0]!));
	}

	const allocators = ranked.map(holder => hosts.find(({peer}) => peer === holder)!);
	await playMore({
		clients, allocator: allocators[0]!, allocators, reserveAtAll, reserve, pass,
	});
	for (const {kill} of hosts) {
		kill();
	}

	restoreRandom();
	timers.stop();
	return outcomes;
};

test.serial('a client of a large hall refuses for good what its allocators know to be used up', async t => {
	const outcomes = await playUsedUpHall(async ({clients, reserve, pass}) => {
		// Callers come back no sooner than pauses end.
		for (let request = 0; request < 5; request++) {
			await pass(pastPausesMs);
			t.is(await reserve(clients[0]!), 'exhausted');
		}
	});
	t.log(outcomes.map(outcome => outcome[0]).join(''));
	t.is(outcomes.filter(outcome => outcome === 'reserved').length, requestCount);
	t.true(outcomes.includes('exhausted'));
});

const reserveUntilExhausted = async (host: HostWithRights, {reserve}: UsedUpHall): Promise<boolean> => {
	for (let request = 0; request < 10; request++) {
		if (await reserve(host) === 'exhausted') {
			return true;
		}
	}

	return false;
};

test.serial('no host refuses for good by a word from before a pause that keeps it or its allocator from asking', async t => {
	await playUsedUpHall(async hall => {
		const {clients: [client, otherClient], allocator, reserve} = hall;
		t.true(await reserveUntilExhausted(client!, hall), 'a host that asks learns that nothing is left');
		t.is(await reserve(client!), 'unavailable', 'the client does not ask');
		t.is(await reserve(otherClient!), 'unavailable', 'the allocator does not ask the store for it');
		t.true(await reserveUntilExhausted(allocator, hall));
		t.is(await reserve(allocator), 'unavailable', 'the allocator does not ask the store');
	});
});

test.serial('a client does not refuse for good by its own older record while its allocator does not ask the store', async t => {
	const faults = {losesReplies: false, isStoreDown: false};
	await playUsedUpHall(async hall => {
		const {clients, allocators, reserveAtAll, reserve} = hall;
		const setReach = (isUnreachable: boolean): void => {
			for (const {setFaults} of allocators) {
				setFaults({...faults, isUnreachable});
			}
		};

		const [standIn] = rankAllocators(slotOfBudget('org', slotCount), clients.map(({peer}) => peer), hallSize);
		const client = clients.find(({peer}) => peer === standIn)!;
		// Requests at both allocators lengthen their pauses, until both have just drawn.
		let outcomes: readonly string[] = [];
		for (let round = 0; round < 20 && (round < 10 || outcomes.some(outcome => outcome !== 'exhausted')); round++) {
			outcomes = await reserveAtAll(allocators);
		}

		t.deepEqual(outcomes, ['exhausted', 'exhausted']);
		setReach(true);
		t.is(await reserve(client), 'exhausted', 'it draws itself');
		setReach(false);
		t.is(await reserve(client), 'unavailable');
	});
});

test.serial('a client that knows of a top-up does not take the word of an allocator that does not', async t => {
	await playUsedUpHall(async ({clients: [client], reserve, pass}) => {
		await pass(pastPausesMs);
		t.is(await reserve(client!), 'exhausted');
		client!.rights.configure({...makeConfig({}, 2 * limit), version: 2});
		t.is(await reserve(client!), 'unavailable');
	});
});

test('the word of an allocator counts for as long as a record of the store', t => {
	const inputs = {
		left: {tokens: 900, ageMs: 1000, version: 3}, askedMsAgo: 1499, isSkipped: false, version: 3, missing: 901,
	};
	t.true(isReportedExhausted(inputs));
	t.false(isReportedExhausted({...inputs, askedMsAgo: 1500}));
	t.false(isReportedExhausted({...inputs, missing: 900}));
	t.false(isReportedExhausted({...inputs, version: 4}));
	t.false(isReportedExhausted({...inputs, left: undefined}));
	t.false(isReportedExhausted({...inputs, isSkipped: true}), 'a pause kept the host from asking again');
	t.true(isReportedExhausted({
		...inputs, left: {...inputs.left, ageMs: 100}, askedMsAgo: 199, isSkipped: true,
	}));
	t.false(isReportedExhausted({
		...inputs, left: {...inputs.left, ageMs: 100}, askedMsAgo: 200, isSkipped: true,
	}));
});

const lender: HolderRights = {
	epoch: 0, granted: 900, transferred: -700, rate: 100, settled: 150, billed: 150, reserved: 20,
};
/** The lender's account, as in its entry. */
const lenderAccount: HostAccount = {
	...emptyHostAccount, granted: 900, given: new Map([['b#1', 700]]), settled: 150, reserved: 20,
};
const lenderRights: BudgetRights = {
	organisation: 'org', limit: 1000, topUps: [], holders: {'a#1': lender},
};

test('of what was lent to hosts without an entry, 3 s of the demand count as left', t => {
	const inputs = {
		rights: lenderRights, holder: 'a#1', account: lenderAccount, hasClients: true,
	};
	// 100 unallocated, 50 held, 300 kept by clients, 20 reserved.
	const left = mostTokensLeft(inputs);
	// Rates are recorded in steps of up to a tenth.
	t.true(left > 400 && left <= 430, `${left}`);
	t.is(mostTokensLeft({...inputs, rights: {...lenderRights, holders: {'a#1': {...lender, rate: 1000}}}}), 830, 'no more than was not spent');
	t.is(mostTokensLeft({...inputs, hasClients: false}), 830);
});

// Guards against final refusals at an allocator that has just got rights back.
test('what the account of a host gained or spent since its last write counts at once', t => {
	const leftBy = (account: HostAccount): number => mostTokensLeft({
		rights: lenderRights, holder: 'a#1', account, hasClients: true,
	});
	const left = leftBy(lenderAccount);
	t.is(leftBy({...lenderAccount, received: new Map([['b#1', 200]])}), left + 200, 'handed back by a client');
	t.is(leftBy({...lenderAccount, reserved: 0}), left + 20, 'released');
	t.is(leftBy({...lenderAccount, reserved: 0, settled: 170}), left, 'spent');
	t.is(leftBy({...lenderAccount, granted: 880}), left, 'about to be given back to the store');
});
