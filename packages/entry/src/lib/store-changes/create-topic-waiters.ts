/** A held request: `resolve` ends the hold, and `after` is the revision up to which the peer knows the topic. */
type Waiter = {readonly topic: string; readonly after: number; readonly resolve: () => void};

/** The requests of peers that are held until a topic changes. */
type TopicWaiters = {
	/** Waits until `wake` is called for a change after the revision `after`, for `holdMs` at most. */
	readonly wait: (topic: string, after: number, holdMs: number) => Promise<void>;
	/** Ends the waits for a topic by those that know less than the revision `changedAt`. */
	readonly wake: (topic: string, changedAt: number) => void;
};

/** Creates an empty set of held requests. */
export const createTopicWaiters = (): TopicWaiters => {
	let waiters: readonly Waiter[] = [];

	const resolveWaiters = (isAffected: (waiter: Waiter) => boolean): void => {
		const affected = waiters.filter(waiter => isAffected(waiter));
		waiters = waiters.filter(waiter => !affected.includes(waiter));
		for (const waiter of affected) {
			waiter.resolve();
		}
	};

	return {
		wait: async (topic, after, holdMs) => new Promise(resolve => {
			const waiter: Waiter = {
				topic,
				after,
				resolve() {
					clearTimeout(timer);
					resolve();
				},
			};
			const timer = setTimeout(() => {
				resolveWaiters(entry => entry === waiter);
			}, holdMs);
			waiters = [...waiters, waiter];
		}),
		wake(topic, changedAt) {
			resolveWaiters(waiter => waiter.topic === topic && waiter.after < changedAt);
		},
	};
};
