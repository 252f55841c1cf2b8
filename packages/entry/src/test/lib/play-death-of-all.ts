import {setTimeout as sleep} from 'node:timers/promises';
import {fail, succeed} from '@deckwheel/core';
import {unallocated} from '@deckwheel/ledger';
import {defaultTimeouts} from '../../default-timeouts.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {createLoanClient} from '../../lib/lending/create-loan-client.js';
import type {LoanRequest} from '../../lib/lending/loan-request.js';
import {hostOfHolder} from '../../lib/rights-store/host-of-holder.js';
import {createRightsManager} from '../../lib/rights/create-rights-manager.js';
import type {RightsManager} from '../../lib/rights/rights-manager.js';
import type {ReserveOutcome} from '../../lib/rights/reserve-outcome.js';
import {createMemoryRightsStore} from './memory-rights-store.js';
import {makeConfig} from './start-host.js';
import {seedRandom} from './seed-random.js';
import {startVirtualTimers} from './start-virtual-timers.js';

/** A step of virtual time, in ms. */
const stepMs = 50;

/** Hosts spread their first looks and their conflicts by chance; a play draws the same numbers each time. */
const randomSeed = 38;

/** How long a request runs, in ms. */
const runMs = 1000;

type Span = {readonly from: number; readonly until: number};

/** A course of events. Times are ms since the hosts started. */
export type DeathCourse = {
	readonly hosts: number;
	/** Prepaid tokens of the budget. */
	readonly limit: number;
	/** What requests reserve and use, in tokens; one after the other, again and again. */
	readonly requestTokens: readonly number[];
	/** How urgent those are, 0 the most, in the same order; nothing is kept from them where it is left out. */
	readonly priorities?: readonly number[];
	/** How often the first host is asked, in ms. The others are asked once, at the start. */
	readonly requestGapMs: number;
	/** What that one request of the others reserves and uses, in tokens. */
	readonly firstTokens: number;
	/** When the store answers nobody. */
	readonly outages: readonly Span[];
	/** When the first host and the others cannot reach each other. Questions of that time arrive when it is over, and nobody waits for the answers. */
	readonly cut: Span;
	/** When no host runs. */
	readonly death: Span;
	readonly end: number;
};

type PlayedRequest = {readonly at: number; readonly outcome: ReserveOutcome};

type PlayedCourse = {
	readonly requests: readonly PlayedRequest[];
	/** What had not been spent when the hosts died, in tokens. */
	readonly remainingAtDeath: number;
	/** What the next lives could draw of it. */
	readonly drawableAfterDeath: number;
};

/** Plays steady callers at hosts that each draw for themselves, with the keepers of rights as shipped, in virtual time. */
export const playDeathOfAll = async (course: DeathCourse): Promise<PlayedCourse> => {
	const timers = startVirtualTimers();
	const restoreRandom = seedRandom(randomSeed);
	const {now} = timers;
	const store = createMemoryRightsStore();
	const requests: PlayedRequest[] = [];
	let spent = 0;
	const isWithin = ({from, until}: Span): boolean => now() >= from && now() < until;

	const startLife = (life: number): ReadonlyMap<string, RightsManager> => {
		const peers: readonly ListedPeer[] = Array.from({length: course.hosts}, (_, index) => (
			{holder: `edge-${index}#${life}`, address: `10.0.0.${index}:1`, hall: `h${index}`}));
		const keepers = new Map<string, RightsManager>();
		for (const peer of peers) {
			const loanClient = createLoanClient({
				mesh: () => ({
					port: 0,
					async request(address, body, timeoutMs) {
						const lender = peers.find(entry => entry.address === address)!;
						const answer = async () => keepers.get(lender.holder)!.lend(peer.holder, body as LoanRequest);
						if (isWithin(course.cut) && (peer === peers[0] || lender === peers[0])) {
							setTimeout(answer, course.cut.until - now());
							await sleep(timeoutMs);
							return fail('unknown');
						}

						return succeed({lender: lender.holder, ...await answer()});
					},
					send: () => undefined,
					quietMs: () => undefined,
					close: async () => undefined,
				}),
				receivedFrom: (budget, from) => rights.receivedFrom(budget, from),
				onLoan(budget, from, total) {
					rights.receive(budget, from, total);
				},
				onSilence: () => undefined,
				replyTimeoutMs: defaultTimeouts.peerMs,
				log: () => undefined,
				now,
			});
			const rights = createRightsManager({
				host: hostOfHolder(peer.holder),
				holder: peer.holder,
				store,
				loanClient,
				links: () => ({
					hallPeers: () => [peer], hallSize: () => 1, isPeerListKnown: () => true, peerOf: holder => peers.find(entry => entry.holder === holder),
				}),
				timeouts: defaultTimeouts,
				log: () => undefined,
				now,
			});
			rights.configure(makeConfig({}, course.limit));
			keepers.set(peer.holder, rights);
		}

		return keepers;
	};

	const drawable = (): number => {
		const [stored] = [...store.objects.values()];
		return stored ? unallocated(stored.rights.budgets.org!) : course.limit;
	};

	let keepers = startLife(0);
	let life = 0;
	let remainingAtDeath = 0;
	let drawableAfterDeath = 0;
	let ends: ReadonlyArray<{readonly at: number; readonly keeper: RightsManager; readonly tokens: number}> = [];

	const request = async (keeper: RightsManager, at: number, tokens: number, priority?: number): Promise<void> => {
		const outcome = await keeper.reserve('org', tokens, at + defaultTimeouts.storeMs, priority);
		requests.push({at, outcome});
		if (outcome === 'reserved') {
			spent += tokens;
			ends = [...ends, {at: at + runMs, keeper, tokens}];
		}
	};

	while (now() < course.end) {
		const time = now();
		store.faults.isDown = course.outages.some(outage => isWithin(outage));
		if (isWithin(course.death) && keepers.size > 0) {
			remainingAtDeath = course.limit - spent;
			drawableAfterDeath = drawable();
			for (const keeper of keepers.values()) {
				keeper.close();
			}

			keepers = new Map();
			ends = [];
		}

		if (time >= course.death.until && keepers.size === 0) {
			keepers = startLife(++life);
		}

		for (const {keeper, tokens} of ends.filter(({at}) => at <= time)) {
			keeper.settle('org', tokens, tokens);
		}

		ends = ends.filter(({at}) => at > time);
		for (const [index, keeper] of [...keepers.values()].entries()) {
			if (index === 0 && time % course.requestGapMs === 0) {
				const turn = (time / course.requestGapMs) % course.requestTokens.length;
				void request(keeper, time, course.requestTokens[turn]!, course.priorities?.[turn]);
			} else if (time === index * stepMs) {
				void request(keeper, time, course.firstTokens);
			}
		}

		for (let ms = 0; ms < stepMs; ms++) {
			await timers.advanceOneMs();
		}
	}

	for (const keeper of keepers.values()) {
		keeper.close();
	}

	restoreRandom();
	timers.stop();
	return {requests, remainingAtDeath, drawableAfterDeath};
};
