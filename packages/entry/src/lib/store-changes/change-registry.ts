import type {StoreChanges} from '../../adapter/store-changes.js';
import type {ChangeReply} from './change-reply.js';

/** The answering side of change notifications: what this host has seen of the store's topics, for peers that ask. */
export type ChangeRegistry = Pick<StoreChanges, 'publish' | 'noteStoreAnswer' | 'hasSubscribers'> & {
	/** Answers at once where something changed after the revision `after`, and else after `holdMs`. */
	readonly answer: (topic: string, after: number, holdMs: number) => Promise<ChangeReply>;
};
