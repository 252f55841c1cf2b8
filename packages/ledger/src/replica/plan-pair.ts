import {rankByRendezvous} from '@deckwheel/core';
import type {PairView} from './pair-view.js';
import type {Pair} from './pair.js';

const findSpare = (slot: number, view: PairView, excluded: ReadonlyArray<string | undefined>): string | undefined =>
	rankByRendezvous(String(slot), view.live).find(host => !excluded.includes(host));

const isLive = (host: string | undefined, view: PairView): host is string =>
	host !== undefined && view.live.includes(host);

// As the primary, this host replaces a backup that is gone or shutting down, and adds a backup where the pair has none.
const planAsPrimary = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const {self} = view;
	const hasBackup = pair.backup !== undefined;
	const needsBackup = !hasBackup || view.isGone(pair.backup) || !isLive(pair.backup, view);
	const spare = needsBackup ? findSpare(slot, view, [self, pair.backup]) : undefined;
	if (spare !== undefined) {
		return {...pair, epoch: pair.epoch + 1, backup: spare};
	}

	// No other host can be the backup: once the old backup is gone, this host serves alone.
	const isBackupGone = hasBackup && view.isGone(pair.backup);
	return isBackupGone ? {...pair, epoch: pair.epoch + 1, backup: undefined} : undefined;
};

const planHandover = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	if (!isLive(pair.backup, view) || !view.isHandoverReady(slot)) {
		return undefined;
	}

	return {
		...pair, epoch: pair.epoch + 1, primary: pair.backup, backup: findSpare(slot, view, [pair.backup, view.self]),
	};
};

const planAsBackup = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const canSucceed = view.isGone(pair.primary!) && view.isSynced(slot) && !view.isStopping;
	return canSucceed
		? {
			...pair, epoch: pair.epoch + 1, primary: view.self, backup: findSpare(slot, view, [view.self, pair.primary]),
		}
		: undefined;
};

// When both hosts of the pair are lost, no host holds the ledger: the live host that ranks first starts a new generation.
const planNewGeneration = (slot: number, pair: Pair, view: PairView): Pair | undefined => {
	const members = [pair.primary, pair.backup].filter(host => host !== undefined);
	// This check comes before the ranking, since a ranking takes time for each host of the hall.
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
Plans the pair that this host proposes for a slot, or `undefined` when the current pair is to stay.

When several hosts propose a pair at the same time, the store's conditional update lets one of them win.
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
