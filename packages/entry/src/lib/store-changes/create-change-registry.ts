import type {ChangeRegistry} from './change-registry.js';
import {createTopicWaiters} from './create-topic-waiters.js';

/** For how long after a peer's request this host has subscribers, in ms. Must not be shorter than a request may be held (`holdMs` of `peerMessageSchema`). */
const subscriberTimeoutMs = 5000;

/** What this host knows of a topic; the fields are those of `StoreChanges.publish`. */
type TopicState = {readonly at: number; readonly changedAt: number; readonly confirmedAt?: number; readonly validUntil?: number};

/**
Creates a registry that knows no topic.

@param elapsed Elapsed ms, suspensions of the machine included: a host that resumes after a suspension must not report state from before it as fresh.
*/
export const createChangeRegistry = (elapsed: () => number): ChangeRegistry => {
	const topics = new Map<string, TopicState>();
	const offers = new Map<string, Parameters<ChangeRegistry['offer']>[1]>();
	const waiters = createTopicWaiters();
	let storeAnsweredAt = Number.NEGATIVE_INFINITY;
	let lastRequestAt = Number.NEGATIVE_INFINITY;

	/** What this host published of a topic, while that is valid. */
	const publishedState = (topic: string): TopicState | undefined => {
		const state = topics.get(topic);
		return state && (state.validUntil ?? Number.POSITIVE_INFINITY) > elapsed() ? state : undefined;
	};

	return {
		publish(topic, state) {
			if (!state) {
				topics.delete(topic);
				waiters.wake(topic, Number.POSITIVE_INFINITY);
				return;
			}

			topics.set(topic, state);
			waiters.wake(topic, state.changedAt);
		},
		noteStoreAnswer(at) {
			storeAnsweredAt = Math.max(storeAnsweredAt, at);
		},
		hasSubscribers: () => elapsed() - lastRequestAt < subscriberTimeoutMs,
		async answer(topic, after, holdMs) {
			const requestedAt = elapsed();
			lastRequestAt = requestedAt;
			const initial = topics.get(topic);
			if (initial && initial.changedAt <= after) {
				await waiters.wait(topic, after, holdMs);
			}

			const current = publishedState(topic);
			if (!current) {
				return {at: 0, changedAt: 0, ageMs: Number.MAX_SAFE_INTEGER};
			}

			const {at, changedAt, confirmedAt} = current;
			const confirmed = confirmedAt === undefined ? {} : {confirmedBeforeMs: requestedAt - confirmedAt};
			return {
				at, changedAt, ageMs: Math.min(Number.MAX_SAFE_INTEGER, elapsed() - storeAnsweredAt), ...confirmed,
			};
		},
		offer(topic, patchAfter) {
			offers.set(topic, patchAfter);
		},
		answerPatch(topic, after, base) {
			const patch = offers.get(topic)?.(after, base) ?? {changedAt: 0};
			const confirmedAt = publishedState(topic)?.confirmedAt;
			return confirmedAt === undefined ? patch : {...patch, confirmedBeforeMs: elapsed() - confirmedAt};
		},
	};
};
