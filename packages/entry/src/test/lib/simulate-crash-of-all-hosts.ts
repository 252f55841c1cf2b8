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

/** The length of a step of virtual time, in ms. */
const stepDurationMs = 50;

/** Hosts delay their first checks and their conflicting writes at random. With a fixed seed each simulation draws the same numbers. */
const randomSeed = 38;

/** How long each request runs, in ms. */
const runMs = 1000;

type TimeSpan = {readonly from: number; readonly until: number};

/** A sequence of faults and the requests during them. Times are ms since the hosts started. */
export type CrashScenario = {
	readonly hosts: number;
	/** Prepaid tokens of the budget. */
	readonly limit: number;
	/** What the requests at the first host reserve and use, in tokens; the list is repeated. */
	readonly requestTokens: readonly number[];
	/** The priorities of those requests in the same order, 0 the most urgent. Without priorities, no rights are kept from the requests. */
	readonly priorities?: readonly number[];
	/** The time between two requests at the first host, in ms. Each of the other hosts gets one request, at the start. */
	readonly requestGapMs: number;
	/** What the one request at each of the other hosts reserves and uses, in tokens. */
	readonly otherHostsTokens: number;
	/** When the store answers no host. */
	readonly outages: readonly TimeSpan[];
	/** When the first host and the others cannot reach each other. Loan requests of that time arrive when it is over, after their senders stopped waiting. */
	readonly partition: TimeSpan;
	/** When no host runs: all hosts crash at `from`, and are restarted at `until`. */
	readonly crash: TimeSpan;
	/** When the simulation ends. */
	readonly end: number;
};

type SimulatedRequest = {readonly at: number; readonly outcome: ReserveOutcome};

type SimulationResult = {
	readonly requests: readonly SimulatedRequest[];
	/** What had not been spent when the hosts crashed, in tokens. */
	readonly remainingAtCrash: number;
	/** What the next incarnations could draw of it, in tokens. */
	readonly drawableAfterCrash: number;
};

/** Simulates steady callers at hosts that each draw for themselves, with the real rights managers, in virtual time. */
export const simulateCrashOfAllHosts = async (scenario: CrashScenario): Promise<SimulationResult> => {
	const timers = startVirtualTimers();
	const restoreRandom = seedRandom(randomSeed);
	const {now} = timers;
	const store = createMemoryRightsStore();
	const requests: SimulatedRequest[] = [];
	let spent = 0;
	const isWithin = ({from, until}: TimeSpan): boolean => now() >= from && now() < until;

	const startIncarnations = (incarnation: number): ReadonlyMap<string, RightsManager> => {
		const peers: readonly ListedPeer[] = Array.from({length: scenario.hosts}, (_, index) => (
			{holder: `edge-${index}#${incarnation}`, address: `10.0.0.${index}:1`, hall: `h${index}`}));
		const rightsManagers = new Map<string, RightsManager>();
		for (const peer of peers) {
			const loanClient = createLoanClient({
				mesh: () => ({
					port: 0,
					async request(address, body, timeoutMs) {
						const lender = peers.find(entry => entry.address === address)!;
						const reply = async () => rightsManagers.get(lender.holder)!.lend(peer.holder, body as LoanRequest);
						if (isWithin(scenario.partition) && (peer === peers[0] || lender === peers[0])) {
							setTimeout(reply, scenario.partition.until - now());
							await sleep(timeoutMs);
							return fail('unknown');
						}

						return succeed({lender: lender.holder, ...await reply()});
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
			rights.configure(makeConfig({}, scenario.limit));
			rightsManagers.set(peer.holder, rights);
		}

		return rightsManagers;
	};

	const drawable = (): number => {
		const [stored] = [...store.objects.values()];
		return stored ? unallocated(stored.rights.budgets.org!) : scenario.limit;
	};

	let rightsManagers = startIncarnations(0);
	let incarnation = 0;
	let remainingAtCrash = 0;
	let drawableAfterCrash = 0;
	let openRequests: ReadonlyArray<{readonly endsAt: number; readonly rightsManager: RightsManager; readonly tokens: number}> = [];

	const request = async (rightsManager: RightsManager, at: number, tokens: number, priority?: number): Promise<void> => {
		const outcome = await rightsManager.reserve('org', tokens, at + defaultTimeouts.storeMs, priority);
		requests.push({at, outcome});
		if (outcome === 'reserved') {
			spent += tokens;
			openRequests = [...openRequests, {endsAt: at + runMs, rightsManager, tokens}];
		}
	};

	while (now() < scenario.end) {
		const time = now();
		store.faults.isDown = scenario.outages.some(outage => isWithin(outage));
		if (isWithin(scenario.crash) && rightsManagers.size > 0) {
			remainingAtCrash = scenario.limit - spent;
			drawableAfterCrash = drawable();
			for (const rightsManager of rightsManagers.values()) {
				rightsManager.close();
			}

			rightsManagers = new Map();
			openRequests = [];
		}

		if (time >= scenario.crash.until && rightsManagers.size === 0) {
			rightsManagers = startIncarnations(++incarnation);
		}

		for (const {rightsManager, tokens} of openRequests.filter(({endsAt}) => endsAt <= time)) {
			rightsManager.settle('org', tokens, tokens);
		}

		openRequests = openRequests.filter(({endsAt}) => endsAt > time);
		for (const [index, rightsManager] of [...rightsManagers.values()].entries()) {
			if (index === 0 && time % scenario.requestGapMs === 0) {
				const requestIndex = (time / scenario.requestGapMs) % scenario.requestTokens.length;
				void request(rightsManager, time, scenario.requestTokens[requestIndex]!, scenario.priorities?.[requestIndex]);
			} else if (time === index * stepDurationMs) {
				void request(rightsManager, time, scenario.otherHostsTokens);
			}
		}

		for (let ms = 0; ms < stepDurationMs; ms++) {
			await timers.advanceOneMs();
		}
	}

	for (const rightsManager of rightsManagers.values()) {
		rightsManager.close();
	}

	restoreRandom();
	timers.stop();
	return {requests, remainingAtCrash, drawableAfterCrash};
};
