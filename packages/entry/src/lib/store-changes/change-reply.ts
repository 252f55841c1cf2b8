import type {z} from 'zod';
import type {changeReplySchema} from './change-reply-schema.js';

/**
A host's reply to a peer that asks whether a topic of the store changed.

`at` is the store's revision up to which the host knows every change of the topic, `changedAt` the revision of the last change that the
host knows of, and `ageMs` how long ago the store last answered the host, in ms. `confirmedBeforeMs` is how long before the question came the
store made the response behind `at`, in ms; it is negative where the response was made while the question was held.
*/
export type ChangeReply = Readonly<z.infer<typeof changeReplySchema>>;
