import type {RightsObject} from '@deckwheel/ledger';
import type {Result} from '@deckwheel/core';
import type {StoredRights} from './stored-rights.js';
import type {RightsStoreError} from './rights-store-error.js';

/** The store of rights on budgets: one object for each slot. A write succeeds only if the object has not changed since it was read. */
export type RightsStore = {
	/** Reads the object of a slot. An object that does not exist yet is returned as an empty one with revision 0. */
	readonly read: (slot: string) => Promise<Result<StoredRights, RightsStoreError>>;
	/** A cheap read of the object, which may be stale. `undefined` when the store returns no object within `timeoutMs`. */
	readonly peek: (slot: string, timeoutMs: number) => Promise<StoredRights | undefined>;
	/** Writes the object of a slot. `revision` is the one at which this host last read the object; 0 creates the object. */
	readonly write: (slot: string, rights: RightsObject, revision: number) => Promise<Result<StoredRights, RightsStoreError>>;
};
