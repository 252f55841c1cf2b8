import type {ChangeRegistry} from './change-registry.js';

/** Peers that asked within this time, in ms, rely on this host. Longer than a question is held. */
const askerMemoryMs = 5000;

type Seen = {readonly at: number; readonly changedAt: number; readonly validUntil?: number};
type Waiter = {readonly topic: string; readonly after: number; readonly resolve: () => void};

/**
Creates an empty board.

@param elapsed Elapsed ms: a host that wakes from a suspension must not tell what it knew before as new.
*/
export const createChangeRegistry = (elapsed: () => number): ChangeRegistry => {
	const topics = new Map<string, Seen>();
	let waiters: readonly Waiter[] = [];
	let aliveAt = Number.NEGATIVE_INFINITY;
	let askedAt = Number.NEGATIVE_INFINITY;

	const wake = (isConcerned: (waiter: Waiter) => boolean): void => {
		const woken = waiters.filter(waiter => isConcerned(waiter));
		waiters = waiters.filter(waiter => !woken.includes(waiter));
		for (const waiter of woken) {
			waiter.resolve();
		}
	};

	const untilChange = async (topic: string, after: number, holdMs: number): Promise<void> => new Promise(resolve => {
		const waiter: Waiter = {
			topic,
			after,
			resolve() {
				clearTimeout(timer);
				resolve();
			},
		};
		const timer = setTimeout(() => {
			wake(entry => entry === waiter);
		}, holdMs);
		waiters = [...waiters, waiter];
	});

	return {
		publish(topic, seen) {
			if (!seen) {
				topics.delete(topic);
				wake(waiter => waiter.topic === topic);
				return;
			}

			topics.set(topic, seen);
			wake(waiter => waiter.topic === topic && waiter.after < seen.changedAt);
		},
		noteStoreAnswer(at) {
			aliveAt = Math.max(aliveAt, at);
		},
		hasSubscribers: () => elapsed() - askedAt < askerMemoryMs,
		async answer(topic, after, holdMs) {
			askedAt = elapsed();
			const seen = topics.get(topic);
			if (seen && seen.changedAt <= after) {
				await untilChange(topic, after, holdMs);
			}

			const known = topics.get(topic);
			if (!known || (known.validUntil ?? Number.POSITIVE_INFINITY) <= elapsed()) {
				return {at: 0, changedAt: 0, ageMs: Number.MAX_SAFE_INTEGER};
			}

			const {at, changedAt} = known;
			return {at, changedAt, ageMs: Math.min(Number.MAX_SAFE_INTEGER, elapsed() - aliveAt)};
		},
	};
};
