import type {StoreChanges} from '../../adapter/store-changes.js';
import type {TopicPatch} from '../../adapter/topic-patch.js';
import type {ChangeReply} from './change-reply.js';

/** The replying side of change notifications: what this host knows of the store's topics, for peers that ask whether a topic changed. */
export type ChangeRegistry = Pick<StoreChanges, 'publish' | 'offer' | 'noteStoreAnswer' | 'hasSubscribers'> & {
	/**
	Replies to a peer that knows the topic up to the store's revision `after`. The reply is held for up to `holdMs` while the topic has
	not changed after that revision, and is sent at once where it has, or where this host doesn't follow the topic.
	*/
	readonly answer: (topic: string, after: number, holdMs: number) => Promise<ChangeReply>;
	/** Replies to a peer that requests the changes of a topic after a revision, or from the base that it sends. */
	readonly answerPatch: (topic: string, after: number, base: unknown) => TopicPatch;
};
