/** What a host tells a peer of a topic of the store that the peer knows up to a revision. */
export type TopicPatch = {
	/** The revision of the last change that the host knows of. */
	readonly changedAt: number;
	/** All changes after the peer's revision, in the form of the adapter; `undefined` where the host does not have them, or knows of none. */
	readonly changes?: unknown;
	/** How long before the request came the host got all changes that `changes` leads to, in ms; `undefined` where it does not follow the topic. */
	readonly confirmedBeforeMs?: number | undefined;
};
