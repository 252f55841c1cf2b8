import {fail, succeed} from '@deckwheel/core';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';

/** A store of rights in memory, with faults that a test sets. */
export type MemoryRightsStore = RightsStore & {
	readonly faults: {isDown: boolean; /** The next write is done, and its answer lost. */ losesNextAnswer: boolean};
	readonly objects: ReadonlyMap<string, StoredRights>;
	readonly era: () => number;
	/** What it holds now. */
	readonly copy: () => ReadonlyMap<string, StoredRights>;
	/** Goes back to a copy, and begins a new era. */
	readonly restore: (copy: ReadonlyMap<string, StoredRights>) => void;
};

const none: StoredRights = {rights: {budgets: {}}, revision: 0};

/** Revisions of one era. */
const eraRevisions = 1_000_000;

/** Creates a store of rights that several hosts of a test share. */
export const createMemoryRightsStore = (): MemoryRightsStore => {
	const objects = new Map<string, StoredRights>();
	let era = 0;
	const faults = {isDown: false, losesNextAnswer: false};
	return {
		faults,
		objects,
		era: () => era,
		copy: () => new Map(objects),
		restore(copy) {
			era++;
			objects.clear();
			for (const [slot, {rights, revision}] of copy) {
				objects.set(slot, {rights, revision: (era * eraRevisions) + (revision % eraRevisions), era});
			}
		},
		async read(slot) {
			return faults.isDown ? fail({type: 'unavailable'}) : succeed(objects.get(slot) ?? {...none, era});
		},
		async peek(slot) {
			return faults.isDown ? undefined : objects.get(slot);
		},
		async write(slot, rights, revision) {
			if (faults.isDown) {
				return fail({type: 'unavailable'});
			}

			const now = objects.get(slot) ?? {...none, era};
			if (now.revision !== revision) {
				return fail({type: 'conflict', now});
			}

			const stored = {rights, revision: Math.max(revision, era * eraRevisions) + 1, era};
			objects.set(slot, stored);
			if (faults.losesNextAnswer) {
				faults.losesNextAnswer = false;
				return fail({type: 'unknown'});
			}

			return succeed(stored);
		},
	};
};
