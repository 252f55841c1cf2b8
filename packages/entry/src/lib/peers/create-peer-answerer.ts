import type {Identity} from '@deckwheel/mesh';
import type {Log} from '../../adapter/log.js';
import type {PeerHandlers} from './peer-handlers.js';
import {peerMessageSchema} from './peer-message-schema.js';

type Options = PeerHandlers & {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly log: Log;
};

/** Creates the function that checks what peers ask and passes it to who answers it. */
export const createPeerAnswerer = ({lend, takeBack, answerChanges, answerSuspicions, answerPermit, answerLimits, holder, log}: Options) => async (from: Identity, body: unknown): Promise<unknown> => {
	const message = peerMessageSchema.safeParse(body);
	if (!message.success) {
		log('peer_message_malformed', {from: from.incarnation});
		return undefined;
	}

	const {data} = message;
	switch (data.type) {
		case 'hand_back': {
			// A total counts for one life. The next one at this address would credit itself with all that the earlier one got.
			const isTaken = data.to === holder;
			if (isTaken) {
				takeBack(from.incarnation, data.budget, data.total);
			} else {
				log('hand_back_refused', {from: from.incarnation, to: data.to, budget: data.budget});
			}

			return {isTaken};
		}

		// The name on the wire of a question about changes in the store.
		case 'news': {
			return answerChanges(data.topic, data.after, data.holdMs);
		}

		case 'suspicions': {
			return answerSuspicions(from.hall, data);
		}

		case 'permit': {
			return answerPermit({holder: from.incarnation, hall: from.hall, address: data.asker}, data);
		}

		case 'limits': {
			return answerLimits({holder: from.incarnation, hall: from.hall, address: data.sender}, data);
		}

		case 'lend': {
			return {lender: holder, ...await lend(from.incarnation, data)};
		}
	}
};
