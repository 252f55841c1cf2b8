import type {KeptOrigin} from './kept-origin.js';

/** A stream whose attempt is sent to an endpoint. */
export type SentStream = Omit<KeptOrigin, 'notedAt'> & {
	/** Whether a caller takes up a stream of an earlier request, whose origin may be stored already. */
	readonly isTakeUp: boolean;
};
