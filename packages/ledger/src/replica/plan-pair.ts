import {rankByRendezvous} from '@deckwheel/core';
import type {PairView} from './pair-view.js';
import type {Pair} from './pair.js';

const spareFor = (slot: number, view: PairView, taken: ReadonlyArray<string | undefined>): string | undefined =>
	rankByRendezvous(String(slot), view.live).find(host => !taken.includes(host));

const isLive = (host: string | undefined, view: PairView): host is string =>
	host !== undefined && view.live.includes(host);

// As the primary: replace a backup that is gone or leaving, and find one where there is none.
const planAsPrimary = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const {self} = view;
	const hasBackup = pair.backup !== undefined;
	const needsBackup = !hasBackup || view.isGone(pair.backup) || !isLive(pair.backup, view);
	const spare = needsBackup ? spareFor(slot, view, [self, pair.backup]) : undefined;
	if (spare !== undefined) {
		return {...pair, epoch: pair.epoch + 1, backup: spare};
	}

	// Nobody else is left: a lone host has to serve without a backup.
	const standsAlone = hasBackup && view.isGone(pair.backup);
	return standsAlone ? {...pair, epoch: pair.epoch + 1, backup: undefined} : undefined;
};

const planHandover = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	if (!isLive(pair.backup, view) || !view.isHandoverReady(slot)) {
		return undefined;
	}

	return {
		...pair, epoch: pair.epoch + 1, primary: pair.backup, backup: spareFor(slot, view, [pair.backup, view.self]),
	};
};

const planAsBackup = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const canSucceed = view.isGone(pair.primary!) && view.isSynced(slot) && !view.isStopping;
	return canSucceed
		? {
			...pair, epoch: pair.epoch + 1, primary: view.self, backup: spareFor(slot, view, [view.self, pair.primary]),
		}
		: undefined;
};

// Nobody holds the ledger any more: the best-ranked host starts a new generation.
const planNewGeneration = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const members = [pair.primary, pair.backup].filter(host => host !== undefined);
	// Asked first, since ranking costs time for each host of the hall.
	if (!members.every(host => view.isLost(host))) {
		return undefined;
	}

	const [first, second] = rankByRendezvous(String(slot), view.live);
	return first === view.self
		? {
			epoch: pair.epoch + 1, generation: pair.generation + 1, primary: first, backup: second,
		}
		: undefined;
};

/**
The pair that this host would like a slot to have, or `undefined` to leave it.

The store's conditional update picks one winner among hosts that plan at the same time.
*/
export const planPair = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	if (pair.primary === view.self) {
		return view.isStopping ? planHandover(slot, pair, view) : planAsPrimary(slot, pair, view);
	}

	if (pair.backup === view.self) {
		return planAsBackup(slot, pair, view);
	}

	return planNewGeneration(slot, pair, view);
};
