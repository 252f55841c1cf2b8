import type {StoredRights} from '../../adapter/stored-rights.js';

/** The object of a slot as this host last read it from the store. */
export type KnownSlot = StoredRights & {
	/** When the object was read, in monotonic ms. */
	readonly readAt: number;
};
