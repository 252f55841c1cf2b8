import type {StoredRights} from '../../adapter/stored-rights.js';

/** An object of rights as this host last saw it. */
export type KnownSlot = StoredRights & {
	/** Monotonic ms. */
	readonly readAt: number;
};
