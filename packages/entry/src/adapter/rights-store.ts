import type {RightsObject} from '@deckwheel/ledger';
import type {Result} from '@deckwheel/core';
import type {StoredRights} from './stored-rights.js';
import type {RightsStoreError} from './rights-store-error.js';

/** Where the rights on budgets are recorded: one object a slot, written under the condition that it has not changed. */
export type RightsStore = {
	readonly read: (slot: string) => Promise<Result<StoredRights, RightsStoreError>>;
	/** What a cheap look at the object shows; it may be older than the object is. `undefined` when it shows nothing in time. */
	readonly peek: (slot: string, timeoutMs: number) => Promise<StoredRights | undefined>;
	/** `revision` is that of the object as last seen; 0 makes it. */
	readonly write: (slot: string, rights: RightsObject, revision: number) => Promise<Result<StoredRights, RightsStoreError>>;
};
