import type {ChangeStatus} from './change-status.js';
import type {TopicPatch} from './topic-patch.js';

/**
Changes in the store that the hosts of a hall tell each other of.

In a large hall, one host follows each topic in the store, and the other hosts ask that host for changes. A small change passes between
hosts, as the difference from a revision that the other host has; larger ones, and those after an unknown revision, each host reads from the
store. So a host that is cut off delays its peers, but never gives them a state that the store did not have.
*/
export type StoreChanges = {
	/** Whether this host has to follow a topic in the store: for its hall, or for itself in a hall so small that each host follows every topic. */
	readonly isFollower: (topic: string) => boolean;
	/**
	Publishes to peers what this host has seen of a topic: it knows all changes up to the store's revision `at`, and the last one was
	at the revision `changedAt` or before. It got all changes that the store made before the instant `confirmedAt`. This holds until the
	instant `validUntil` or until the next call. Both instants are elapsed ms.

	@param seen `undefined` while this host cannot follow the topic.
	*/
	readonly publish: (topic: string, seen: {readonly at: number; readonly changedAt: number; readonly confirmedAt?: number; readonly validUntil?: number} | undefined) => void;
	/** Notes that this host reached the store at the instant `at`, in elapsed ms. */
	readonly noteStoreAnswer: (at: number) => void;
	/** Whether peers have recently asked this host for changes. */
	readonly hasSubscribers: () => boolean;
	/**
	Asks the peer that follows a topic whether the topic changed after a revision. The peer replies once it sees a change, or after
	`holdMs`, in ms.

	@param after The revision up to which this host knows all changes of the topic.
	@param freshMs How long ago the peer may have reached the store for its reply to count, in ms.
	*/
	readonly waitForChange: (topic: string, after: number, holdMs: number, freshMs: number) => Promise<ChangeStatus>;
	/** Sets how this host replies to peers that request the changes of a topic after a revision, or from a base of theirs. */
	readonly offer: (topic: string, patchAfter: (after: number, base: unknown) => Omit<TopicPatch, 'confirmedBeforeMs'>) => void;
	/**
	Requests the changes of a topic after a revision from the peer that follows it, or from any peer, one of the own hall if there is one.
	Resolves with `undefined` where the peer does not reply.

	@param base What this host knows of the topic, in the form of the adapter, for a peer that does not have the changes after the revision.
	@param timeoutMs How long the reply may take, in ms.
	*/
	readonly requestPatch: (from: 'follower' | 'any', topic: string, after: number, options: {readonly base?: unknown; readonly timeoutMs: number}) => Promise<TopicPatch | undefined>;
};
