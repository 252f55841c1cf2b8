import type {NewsAnswer} from '../news.js';
import type {NewsReply} from './news-reply.js';

/**
Decides what a peer's word is worth.

@param after The revision up to which the asker knows the topic whole.
@param freshMs How long ago the store may have answered the peer, in ms.
*/
export const judgeNews = ({at, changedAt, ageMs}: NewsReply, after: number, freshMs: number): NewsAnswer => {
	if (changedAt > after) {
		return {type: 'news'};
	}

	return ageMs <= freshMs ? {type: 'quiet', at: Math.max(at, after)} : {type: 'unknown'};
};
