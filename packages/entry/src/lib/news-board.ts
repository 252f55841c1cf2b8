import type {News} from '../news.js';
import type {NewsReply} from './news-reply.js';

/** What this host has seen of the store's topics, for peers that ask. */
export type NewsBoard = Pick<News, 'tell' | 'noteAlive' | 'hasAskers'> & {
	/** Answers at once where there is news, and else after `holdMs`. */
	readonly answer: (topic: string, after: number, holdMs: number) => Promise<NewsReply>;
};
