import {fail, succeed} from '@deckwheel/core';
import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';

/** A store of rights in memory, with faults that a test can switch on. */
export type MemoryRightsStore = RightsStore & {
	readonly faults: {isDown: boolean; /** The next write is done, but its reply is lost. */ losesNextReply: boolean};
	/** The stored objects by slot. */
	readonly objects: ReadonlyMap<string, StoredRights>;
	/** The era of the store: how often it was restored. */
	readonly era: () => number;
	/** Copies the stored objects. */
	readonly copy: () => ReadonlyMap<string, StoredRights>;
	/** Restores the store from a copy and begins a new era. */
	readonly restore: (copy: ReadonlyMap<string, StoredRights>) => void;
};

const emptyObject: StoredRights = {rights: {budgets: {}}, revision: 0};

/** The number of revisions in one era. */
const eraRevisions = 1_000_000;

/** Creates an empty store of rights that several hosts of a test can share. */
export const createMemoryRightsStore = (): MemoryRightsStore => {
	const objects = new Map<string, StoredRights>();
	let era = 0;
	const faults = {isDown: false, losesNextReply: false};
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
			return faults.isDown ? fail({type: 'unavailable'}) : succeed(objects.get(slot) ?? {...emptyObject, era});
		},
		async peek(slot) {
			return faults.isDown ? undefined : objects.get(slot);
		},
		async write(slot, rights, revision) {
			if (faults.isDown) {
				return fail({type: 'unavailable'});
			}

			const now = objects.get(slot) ?? {...emptyObject, era};
			if (now.revision !== revision) {
				return fail({type: 'conflict', now});
			}

			const stored = {rights, revision: Math.max(revision, era * eraRevisions) + 1, era};
			objects.set(slot, stored);
			if (faults.losesNextReply) {
				faults.losesNextReply = false;
				return fail({type: 'unknown'});
			}

			return succeed(stored);
		},
	};
};
