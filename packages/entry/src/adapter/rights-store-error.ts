import type {StoredRights} from './stored-rights.js';

/** Why a call to the store of rights failed. */
export type RightsStoreError =
	/** Nothing was written, because the object is no longer at the revision that the write expected. `now` is the object as the store holds it. */
	| {readonly type: 'conflict'; readonly now: StoredRights}
	/** Nothing was written: the store responded, but the object that it holds cannot be parsed. */
	| {readonly type: 'unreadable'}
	/** Nothing was written: the store is out of reach, or refused the call. */
	| {readonly type: 'unavailable'}
	/** The store may have carried out the call, or may still do so. */
	| {readonly type: 'unknown'};
