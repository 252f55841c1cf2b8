/**
Guards against overspending, and against rights that no host can use, in a large hall whose hosts come out of each other's reach and out of the
reach of the store in any order. Hosts are neither killed nor restarted here: `rights-conservation` plays that.
*/
import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {unallocated} from '@deckwheel/ledger';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {seedRandom} from './lib/seed-random.js';
import {startRightsManagers} from './lib/start-rights-managers.js';
import {startVirtualTimers} from './lib/start-virtual-timers.js';

const hallSize = 6;
const limit = 400_000;
const requestGapMs = 40;
/** How long a request runs, in ms. */
const runMs = 800;
const endMs = 12_000;
/** Without demand and faults, hosts hand back what they hold within this time, in ms. */
const settleMs = 15_000;
/** What is not worth handing back, or a write to the store, at each host, in tokens. */
const negligibleTokens = 2500;
/** The part of what remains that hosts may hold without demand (`holdingPolicySettings`). */
const heldPart = 0.6;

// Times are ms.
const anyFault = fc.record({
	host: fc.nat({max: hallSize - 1}),
	from: fc.integer({min: 0, max: endMs - 1000}),
	lastsMs: fc.integer({min: 500, max: 6000}),
	isUnreachable: fc.boolean(),
	losesReplies: fc.boolean(),
	isStoreDown: fc.boolean(),
});
// Most requests go to few hosts.
const anyHost = fc.oneof({weight: 3, arbitrary: fc.nat({max: 1})}, {weight: 1, arbitrary: fc.nat({max: hallSize - 1})});
const anyRequest = fc.record({host: anyHost, tokens: fc.integer({min: 100, max: 4000})});
const anyPlay = fc.record({
	faults: fc.array(anyFault, {minLength: 1, maxLength: 8}),
	requests: fc.array(anyRequest, {minLength: 20, maxLength: 60}),
	usedShare: fc.constantFrom(0.3, 0.9, 1),
});

type Play = typeof anyPlay extends fc.Arbitrary<infer T> ? T : never;

const play = async ({faults, requests, usedShare}: Play) => {
	const timers = startVirtualTimers();
	const restoreRandom = seedRandom(5);
	const store = createMemoryRightsStore();
	const hosts = startRightsManagers(hallSize, store, limit, timers.now);
	let spent = 0;
	let maxSpent = 0;

	const request = async (index: number): Promise<void> => {
		const {host, tokens} = requests[index % requests.length]!;
		const {rights} = hosts[host]!;
		if (await rights.reserve('org', tokens, timers.now() + 500, undefined) !== 'reserved') {
			return;
		}

		spent += tokens;
		maxSpent = Math.max(maxSpent, spent);
		setTimeout(() => {
			const used = Math.floor(tokens * usedShare);
			rights.settle('org', tokens, used);
			spent -= tokens - used;
		}, runMs);
	};

	const setFaults = (): void => {
		for (const [index, {setFaults}] of hosts.entries()) {
			const active = faults.filter(({host, from, lastsMs}) => host === index && timers.now() >= from && timers.now() < from + lastsMs);
			setFaults({
				isUnreachable: active.some(fault => fault.isUnreachable),
				losesReplies: active.some(fault => fault.losesReplies),
				isStoreDown: active.some(fault => fault.isStoreDown),
			});
		}
	};

	const changes = new Set(faults.flatMap(({from, lastsMs}) => [from, from + lastsMs]));
	let index = 0;
	while (timers.now() < endMs + settleMs) {
		if (changes.has(timers.now())) {
			setFaults();
		}

		if (timers.now() < endMs && timers.now() % requestGapMs === 0) {
			void request(index++);
		}

		await timers.advanceOneMs();
	}

	const [stored] = [...store.objects.values()];
	const drawable = stored ? unallocated(stored.rights.budgets.org!) : limit;
	for (const {kill} of hosts) {
		kill();
	}

	restoreRandom();
	timers.stop();
	return {spent, maxSpent, drawable};
};

test.serial('in any order of faults nothing is overspent, and what was not spent can be drawn again once they are over', async t => {
	let highest = 0;
	await fc.assert(fc.asyncProperty(anyPlay, async scenario => {
		const {spent, maxSpent, drawable} = await play(scenario);
		highest = Math.max(highest, maxSpent);
		t.true(maxSpent <= limit);
		const least = ((limit - spent) * (1 - heldPart)) - (hallSize * negligibleTokens);
		t.log(`${spent} spent, ${drawable} drawable, at least ${least}`);
		return drawable >= least;
	}), {numRuns: Number(process.env.RIGHTS_RUNS ?? 25), seed: Number(process.env.RIGHTS_SEED ?? 56), endOnFailure: true});
	// If no play came near the limit, it would prove nothing about overspending.
	t.true(highest > 0.9 * limit, `${highest}`);
});
