import {ownValue} from '@deckwheel/core';
import {
	accountOf, available, drawAmount, emptyLedger, holdingPolicyByShare, planDraw, surplus, transferred, viewStore, type DrawRequest, type HoldingPolicy, type RightsObject, type StoreView,
} from '@deckwheel/ledger';
import type {Bundle} from '@deckwheel/bundle';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import type {SlotsTask} from '../slots/slots-task.js';
import {createTurns} from '../process/create-turns.js';
import {createDemandMeter} from './create-demand-meter.js';
import {createNeeds} from './create-needs.js';
import {createRightsCache} from './create-rights-cache.js';
import type {DrawOutcome} from './draw-outcome.js';
import type {DrawTask} from './draw-task.js';

/** Conflicts with other halls' writes to the same object before the draw waits for its next turn. */
const maxConflicts = 8;

/** Before a waiting request is told that a budget is used up, the store is read at least this lately, in ms. */
const freshMs = 250;

/** The part of what remains that is held where the bundle says nothing: less strands less and refuses more. */
const defaultShareOfRest = 0.5;

/** Seconds over which demand is averaged where the bundle says nothing: a short time splits rights by chance, a long one lags behind. */
const defaultMemorySeconds = 300;

type Options = {
	readonly slots: SlotsTask;
	readonly bundle: () => Bundle | undefined;
};

type Flush = {
	readonly rest: ReadonlyMap<string, number>;
	readonly unknown: readonly string[];
};

/**
Starts the task that moves rights between the store and this host's slots, one write at a time for each slot. What a write
says is decided by `planDraw`, how much is drawn by `drawAmount`, what goes back by `surplus`.
*/
export const startDrawTask = (context: Context, {slots, bundle}: Options): DrawTask => {
	const {settings, clock} = context;
	const meter = createDemandMeter(clock, () => bundle()?.policy.memorySeconds ?? defaultMemorySeconds);
	const needs = createNeeds();
	const turns = createTurns<number>();
	const cache = createRightsCache(context);

	const hallCount = (): number => bundle()?.halls.length ?? 1;
	const policy = (): HoldingPolicy => holdingPolicyByShare(bundle()?.policy ?? {shareOfRest: defaultShareOfRest});

	const drawRequests = (slot: number): readonly DrawRequest[] => {
		const {ledger} = (slots.replica(slot)!);
		const budgets = new Set([...ledger.accounts.keys(), ...needs.budgetsOf(slot)]);
		return [...budgets].map(budget => {
			const account = accountOf(ledger, budget);
			const {granted, settled, billed} = account;
			const missing = needs.of(budget);
			const wants = (store: StoreView): number =>
				drawAmount({
					target: policy()({tokensPerSecond: meter.rate(budget), holders: hallCount(), ...store}), available: available(account), missing,
				});
			return {
				budget, granted, transferred: transferred(account), rate: meter.rate(budget), settled, billed, wants,
			};
		});
	};

	// What is more than enough goes back, so that other halls can draw it. It leaves the ledger first.
	const surplusOf = (slot: number): ReadonlyArray<{readonly budget: string; readonly amount: number}> => {
		const ledger = slots.replica(slot)?.ledger ?? emptyLedger('');
		const known = cache.get(slot)?.rights.budgets;
		return [...ledger.accounts].flatMap(([budget, account]) => {
			const record = ownValue(known, budget);
			if (!record || needs.has(budget)) {
				return [];
			}

			const tokensPerSecond = meter.rate(budget);
			const store = viewStore(record, ledger.holder, tokensPerSecond);
			const amount = surplus({
				account, store, holdingPolicy: policy(), tokensPerSecond, holders: hallCount(),
			});
			return amount > 0 ? [{budget, amount}] : [];
		});
	};

	const isStale = (slot: number): boolean => {
		const object = cache.get(slot);
		return !object || (needs.budgetsOf(slot).length > 0 && clock.monotonic() - object.readAt > freshMs);
	};

	const adoptGrants = async (slot: number, grants: ReadonlyArray<{readonly budget: string; readonly granted: number}>): Promise<void> => {
		const ledger = slots.replica(slot)?.ledger ?? emptyLedger('');
		const changed = grants.filter(({budget, granted}) => granted !== accountOf(ledger, budget).granted);
		if (changed.length > 0) {
			await slots.submit(slot, {type: 'grant', grants: changed});
		}
	};

	const writeOnce = async (slot: number): Promise<Flush | 'again' | undefined> => {
		if (isStale(slot) && !await cache.read(slot)) {
			return undefined;
		}

		const replica = slots.replica(slot);
		if (replica?.role !== 'primary') {
			return undefined;
		}

		const {version, rights} = cache.get(slot)!;
		const requests = drawRequests(slot);
		const asked = new Map(needs.budgetsOf(slot).map(budget => [budget, needs.of(budget)]));
		const plan = planDraw(rights, replica.ledger.holder, replica.pair.epoch, requests);
		if (plan.type === 'deposed') {
			// Its pair changed; another host writes for the slot now, or this one will know soon.
			cache.forget(slot);
			return undefined;
		}

		// An earlier write may have taken effect and lost its answer: then the store, as just read,
		// holds what this one would write. Nothing older can land any more, since the version moved on.
		const isThere = JSON.stringify(plan.rights) === JSON.stringify(rights);
		if (!isThere) {
			const error = await cache.write(slot, plan.rights, version);
			if (error !== undefined) {
				// After a lost answer the store is read again: the next write settles what this one did.
				return error === 'unavailable' ? undefined : 'again';
			}
		}

		needs.subtract(asked);
		await adoptGrants(slot, plan.grants);
		return {rest: plan.rest, unknown: plan.unknown};
	};

	const write = async (slot: number): Promise<Flush | undefined> => {
		for (let tries = 0; tries < maxConflicts; tries++) {
			const flush = await writeOnce(slot);
			if (flush !== 'again') {
				return flush;
			}
		}

		return undefined;
	};

	// Writes of a slot take turns. Inside a turn, a give-back is on both hosts before the
	// store hears of it: otherwise a successor could still spend what the store offers elsewhere.
	const giveBack = async (slot: number, amounts: ReadonlyArray<{readonly budget: string; readonly amount: number}>): Promise<void> => {
		if (amounts.length > 0) {
			await slots.submit(slot, {type: 'give_back', amounts});
		}
	};

	const flushSlot = async (slot: number): Promise<Flush | undefined> =>
		turns.take(slot, async () => {
			await giveBack(slot, surplusOf(slot));
			return write(slot);
		});

	const flushing = repeat(async () => {
		for (const slot of slots.ownSlots()) {
			await flushSlot(slot);
		}
	}, () => settings.flushMs);

	return {
		async need(slot, budget, missing): Promise<DrawOutcome> {
			needs.add(slot, budget, missing);
			const flush = await turns.take(slot, async () => write(slot));
			if (!flush) {
				needs.drop(budget);
				return {type: 'store_away'};
			}

			return flush.unknown.includes(budget) ? {type: 'no_such_budget'} : {type: 'drawn', rest: flush.rest.get(budget) ?? 0};
		},
		noteDemand: meter.note,
		async giveBackAll(slot) {
			await turns.take(slot, async () => {
				const {ledger} = slots.replica(slot)!;
				await giveBack(slot, [...ledger.accounts].map(([budget, account]) => ({budget, amount: Math.max(0, available(account))})));
				return write(slot);
			});
		},
		async flush(slot) {
			await flushSlot(slot);
		},
		stop: flushing.stop,
	};
};
