import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';

/** The request to which a reply belongs. */
type PeerRequest = {
	/** The address of the peer that got the request. */
	readonly address: string;
	/** The type of the request, as named on the wire. */
	readonly type: string;
};

/** Parses a peer's reply by its schema. A malformed reply is logged, and `undefined` is returned for it. */
export const readPeerReply = <T>(schema: z.ZodType<T>, reply: unknown, {address, type}: PeerRequest, log: Log): T | undefined => {
	const parsed = schema.safeParse(reply);
	if (!parsed.success) {
		log('peer_reply_malformed', {address, type});
		return undefined;
	}

	return parsed.data;
};
