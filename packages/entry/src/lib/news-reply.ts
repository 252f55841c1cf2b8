import type {z} from 'zod';
import type {newsReplySchema} from './news-reply-schema.js';

/**
What a host answers to a peer that asks for news: the revision of the store up to which it knows the topic whole,
the one at which it last saw a change, and how long ago the store answered it, in ms.
*/
export type NewsReply = Readonly<z.infer<typeof newsReplySchema>>;
