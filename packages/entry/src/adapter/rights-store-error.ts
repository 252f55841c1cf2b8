import type {StoredRights} from './stored-rights.js';

/** Why a call to the store did not do what was asked. */
export type RightsStoreError =
	/** Somebody else wrote first; nothing was done. `now` is the object as it is. */
	| {readonly type: 'conflict'; readonly now: StoredRights}
	/** Nothing was done: the store answered, and the object as it is cannot be read. */
	| {readonly type: 'unreadable'}
	/** Nothing was done. */
	| {readonly type: 'unavailable'}
	/** The call may have been done, or may still be. */
	| {readonly type: 'unknown'};
