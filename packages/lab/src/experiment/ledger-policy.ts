import {
	accountOf, applyOp, available, decide, emptyLedger, planDraw, surplus, transferred, unallocated, viewStore, type HoldAhead, type Ledger, type RightsObject, type SlotReply, type SlotRequest,
} from '@deckwheel/ledger';
import {rankByRendezvous} from '@deckwheel/core';
import type {Arrival} from './arrival.js';
import type {CreatePolicy} from './create-policy.js';

const flushSeconds = 2;
const keepSeconds = 60;

type LedgerPolicyOptions = {
	readonly holdAhead: HoldAhead;
	/** How long demand is remembered, in seconds. */
	readonly memorySeconds: number;
	/** Whether halls give each other rights while they reach each other. */
	readonly hasTransfers: boolean;
	/** Whether a hall whose pair is halted lets another hall's pair claim for it. */
	readonly hasFallback: boolean;
};

type Holder = {ledger: Ledger; readonly rates: Map<string, number>};

/** The product's own decisions: one ledger a hall, draws from the store, transfers between halls. */
export const ledgerPolicy = ({holdAhead, memorySeconds, hasTransfers, hasFallback}: LedgerPolicyOptions): CreatePolicy => world => {
	const {scenario, limits, now, reachesStore, reachesHalls} = world;
	const halls = Object.keys(scenario.halls);
	const holders = new Map<string, Holder>(halls.map(hall => [hall, {ledger: emptyLedger(`${hall}#1`), rates: new Map()}]));
	const servedAt = new Map<number, string>();
	/** Budgets of a hall whose pair lost a host while the store was away: the pair cannot be made whole. */
	const halted = new Set<string>();
	let rights: RightsObject = {
		budgets: Object.fromEntries([...limits].map(([budget, limit]) => [budget, {
			organisation: budget, limit, topUps: [], holders: {},
		}])),
	};

	const play = (holder: Holder, request: SlotRequest): SlotReply => {
		const {ops, reply} = decide(holder.ledger, request, now() * 1000);
		for (const op of ops) {
			holder.ledger = applyOp(holder.ledger, op);
		}

		return reply;
	};

	const draw = (holder: Holder, missing: ReadonlyMap<string, number>): void => {
		const {ledger} = holder;
		const plan = planDraw(rights, ledger.holder, 1, [...limits.keys()].map(budget => {
			const account = accountOf(ledger, budget);
			const {granted, settled, billed} = account;
			const rate = holder.rates.get(budget) ?? 0;
			return {
				budget, granted, transferred: transferred(account), rate, settled, billed,
				wants: store => holdAhead({
					tokensPerSecond: rate, available: available(account), missing: missing.get(budget) ?? 0, halls: halls.length, ...store,
				}),
			};
		}));
		if (plan.type === 'write') {
			rights = plan.rights;
			play(holder, {type: 'grant', grants: plan.grants});
		}
	};

	const giveBackSurplus = (holder: Holder): void => {
		const amounts = [...limits.keys()].flatMap(budget => {
			const tokensPerSecond = holder.rates.get(budget) ?? 0;
			const amount = surplus({
				account: accountOf(holder.ledger, budget), store: viewStore(rights.budgets[budget]!, holder.ledger.holder, tokensPerSecond), holdAhead, tokensPerSecond, halls: halls.length,
			});
			return amount > 0 ? [{budget, amount}] : [];
		});
		if (amounts.length > 0) {
			play(holder, {type: 'give_back', amounts});
		}
	};

	const transfer = (to: Holder, budget: string, tokens: number): void => {
		let missing = tokens;
		for (const hall of rankByRendezvous(budget, halls)) {
			const from = holders.get(hall)!;
			if (from === to || missing <= 0 || halted.has(`${hall} ${budget}`)) {
				continue;
			}

			const before = accountOf(to.ledger, budget).received.get(from.ledger.holder, 0);
			const reply = play(from, {
				type: 'want', budget, holder: to.ledger.holder, tokens: missing,
			});
			if (reply.type === 'given') {
				play(to, {
					type: 'receive', budget, from: reply.from, total: reply.total,
				});
				missing -= reply.total - before;
			}
		}
	};

	const claim = (hall: string, arrival: Arrival): SlotReply => play(holders.get(hall)!, {
		type: 'claim',
		budget: arrival.budget,
		key: String(arrival.id),
		fingerprint: '',
		repeatable: false,
		attempt: String(arrival.id),
		runner: '',
		endpoint: '',
		reason: '',
		worstCase: arrival.worstCase,
		sendBy: 0,
		keepUntil: (arrival.at + arrival.seconds + keepSeconds) * 1000,
	});

	const openIn = (hall: string, arrival: Arrival): boolean => {
		const {budget, worstCase} = arrival;
		const holder = holders.get(hall)!;
		let reply = claim(hall, arrival);
		if (reply.type === 'short' && reachesStore()) {
			draw(holder, new Map([[budget, reply.missing]]));
			reply = claim(hall, arrival);
		}

		if (reply.type === 'short' && hasTransfers && reachesHalls()) {
			transfer(holder, budget, reply.missing);
			reply = claim(hall, arrival);
		}

		if (reply.type !== 'run') {
			return false;
		}

		holder.rates.set(budget, (holder.rates.get(budget) ?? 0) + (worstCase / memorySeconds));
		servedAt.set(arrival.id, hall);
		return true;
	};

	const hallFor = ({hall, budget}: Arrival): string | undefined => {
		if (!halted.has(`${hall} ${budget}`)) {
			return hall;
		}

		return hasFallback && reachesHalls()
			? rankByRendezvous(budget, halls).find(other => !halted.has(`${other} ${budget}`))
			: undefined;
	};

	return {
		open(arrival) {
			const hall = hallFor(arrival);
			return hall !== undefined && openIn(hall, arrival);
		},
		close({id, budget, served}) {
			const holder = holders.get(servedAt.get(id)!)!;
			play(holder, {
				type: 'settle', budget, key: String(id), run: 1, outcome: 'finished', served, final: true,
			});
			servedAt.delete(id);
		},
		tick() {
			if (reachesStore()) {
				halted.clear();
			}

			for (const holder of holders.values()) {
				for (const [budget, rate] of holder.rates) {
					holder.rates.set(budget, rate * Math.exp(-1 / memorySeconds));
				}

				if (reachesStore() && now() % flushSeconds === 0) {
					giveBackSurplus(holder);
					draw(holder, new Map());
				}

				if (now() % keepSeconds === 0) {
					play(holder, {type: 'expire'});
				}
			}
		},
		// The pair's other host knows everything. It needs the store to find itself a new partner.
		die(hall, host) {
			if (reachesStore()) {
				return;
			}

			const hosts = Array.from({length: scenario.hostsPerHall}, (_, index) => String(index));
			for (const budget of limits.keys()) {
				if (rankByRendezvous(budget, hosts).slice(0, 2).includes(String(host))) {
					halted.add(`${hall} ${budget}`);
				}
			}
		},
		stranded: () => [...limits.keys()].reduce((sum, budget) => sum + Math.min(0, unallocated(rights.budgets[budget]!)), 0),
	};
};
