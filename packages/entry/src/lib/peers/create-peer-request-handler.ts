import {stackOf} from '@deckwheel/core';
import type {Identity} from '@deckwheel/mesh';
import type {z} from 'zod';
import type {Log} from '../../adapter/log.js';
import {createSparseLog} from './create-sparse-log.js';
import type {PeerHandlers} from './peer-handlers.js';
import {peerMessageSchema} from './peer-message-schema.js';

type PeerMessage = z.infer<typeof peerMessageSchema>;

type Options = PeerHandlers & {
	/** The name of this incarnation of the host, as a holder of rights. */
	readonly holder: string;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the function that checks a peer's request against the schema and passes it to its handler. The function resolves with the reply, and
with `undefined` for a malformed request and for one whose handler throws, which are logged: a request may cost only itself.
*/
export const createPeerRequestHandler = ({
	lend, takeBack, answerChanges, answerPatch, answerSuspicions, answerPermit, answerLimits, answerLoad, answerOrigins, answerTunnel, answerReach, answerTunnelEnd, holder, log, now,
}: Options) => {
	const sparseLog = createSparseLog(log, now);
	const handle = async (from: Identity, data: PeerMessage): Promise<unknown> => {
		switch (data.type) {
			case 'hand_back': {
				// `total` counts all rights that the peer ever gave to one incarnation of a host. Were it meant for an earlier incarnation at this
				// address, this host would credit itself with all rights that the earlier incarnation got.
				const isTaken = data.to === holder;
				if (isTaken) {
					takeBack(from.incarnation, data.budget, data.total);
				} else {
					log('hand_back_refused', {from: from.incarnation, to: data.to, budget: data.budget});
				}

				return {isTaken};
			}

			// `news` is the name on the wire of a request whether a topic of the store changed.
			case 'news': {
				return answerChanges(data.topic, data.after, data.holdMs);
			}

			case 'patch': {
				return answerPatch(data.topic, data.after, data.base);
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

			case 'load': {
				return answerLoad(from, data);
			}

			case 'origins': {
				return answerOrigins(data);
			}

			case 'tunnel': {
				return answerTunnel(data.endpoint);
			}

			case 'reach': {
				return answerReach(data.endpoints);
			}

			case 'tunnel_end': {
				return answerTunnelEnd(data.ticket, data.endpoint);
			}

			case 'lend': {
				return {lender: holder, ...await lend(from.incarnation, data)};
			}
		}
	};

	return async (from: Identity, body: unknown): Promise<unknown> => {
		const message = peerMessageSchema.safeParse(body);
		if (!message.success) {
			sparseLog('peer_message_malformed', {from: from.incarnation});
			return undefined;
		}

		try {
			return await handle(from, message.data);
		} catch (error) {
			log('peer_request_failed', {from: from.incarnation, type: message.data.type, stack: stackOf(error)});
			return undefined;
		}
	};
};
