import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';

/** Which question a reply is to. */
type Question = {
	readonly address: string;
	/** The name of the question on the wire. */
	readonly type: string;
};

/** Reads a peer's reply by its schema. One that does not fit is logged and is none. */
export const readPeerReply = <T>(schema: z.ZodType<T>, reply: unknown, {address, type}: Question, log: Log): T | undefined => {
	const parsed = schema.safeParse(reply);
	if (!parsed.success) {
		log('peer_reply_malformed', {address, type});
		return undefined;
	}

	return parsed.data;
};
