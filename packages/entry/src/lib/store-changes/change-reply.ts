import type {z} from 'zod';
import type {changeReplySchema} from './change-reply-schema.js';

/**
What a host answers to a peer that asks whether a topic changed: the revision of the store up to which it knows the topic whole,
the one at which it last saw a change, and how long ago the store answered it, in ms.
*/
export type ChangeReply = Readonly<z.infer<typeof changeReplySchema>>;
