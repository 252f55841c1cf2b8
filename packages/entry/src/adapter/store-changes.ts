import type {ChangeStatus} from './change-status.js';

/**
Change notifications between the hosts of a hall: whether something changed in the store.

In a large hall one host follows each topic in the store and the others ask it. No data passes between hosts: a host that
learns of a change reads it from the store. So a host that is wrong or cut off costs its peers a moment, and never a
false state.
*/
export type StoreChanges = {
	/** Whether this host has to follow a topic in the store for its hall, or for itself. */
	readonly isFollower: (topic: string) => boolean;
	/**
	Tells peers how this host sees a topic: known whole up to the store's revision `at`, last changed at `changedAt` or before.
	`undefined` when it cannot follow the topic now. It counts until `validUntil`, in elapsed ms, or until it is told anew.
	*/
	readonly publish: (topic: string, seen: {readonly at: number; readonly changedAt: number; readonly validUntil?: number} | undefined) => void;
	/** Notes that the store was in reach of this host, at `at` in elapsed ms. */
	readonly noteStoreAnswer: (at: number) => void;
	/** Whether peers rely on this host at the moment. */
	readonly hasSubscribers: () => boolean;
	/**
	Asks whether a topic changed after a revision. Answers after `holdMs` at the latest, plus a moment.

	@param freshMs How long ago the store may have answered the peer, in ms.
	*/
	readonly waitForChange: (topic: string, after: number, holdMs: number, freshMs: number) => Promise<ChangeStatus>;
};
