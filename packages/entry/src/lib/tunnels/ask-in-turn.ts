import type {Socket} from 'node:net';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {TunnelOutcome} from './tunnel-outcome.js';
import type {TunnelReply} from './tunnel-reply.js';

/** An endpoint that this many peers did not reach is dead, or the peers are cut off and do not know it yet; no more are asked. */
const maxUnreached = 2;

type Options = {
	/** Asks a peer for a tunnel; `undefined` if it did not reply in time. */
	readonly ask: (peer: ListedPeer) => Promise<TunnelReply | undefined>;
	/** Takes over the connection that a peer has opened. */
	readonly takeOver: (peer: ListedPeer, reply: TunnelReply) => Promise<Socket | undefined>;
	/** When asking ends, in monotonic ms. */
	readonly endBy: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Asks peers for a connection to an endpoint until one has it. `isUnreached`: so many did not reach the endpoint that it is not worth asking more. */
export const askInTurn = async (peers: readonly ListedPeer[], {ask, takeOver, endBy, now}: Options): Promise<TunnelOutcome & {readonly isUnreached: boolean}> => {
	let linkMs: number | undefined;
	let unreached = 0;
	for (const peer of peers) {
		const askedAt = now();
		if (askedAt >= endBy || unreached >= maxUnreached) {
			break;
		}

		// Peers are asked one after the other, since each opens a connection to the endpoint.
		const reply = await ask(peer);
		if (reply) {
			linkMs = Math.min(linkMs ?? Number.POSITIVE_INFINITY, Math.max(0, now() - askedAt - reply.spentMs));
		}

		if (reply?.outcome === 'open') {
			const socket = await takeOver(peer, reply);
			return {
				socket, tunnel: {peer: peer.address, ticket: reply.ticket ?? ''}, linkMs, isSilent: false, isUnreached: false,
			};
		}

		unreached += reply?.outcome === 'unreached' ? 1 : 0;
	}

	return {
		socket: undefined, linkMs, isSilent: linkMs === undefined, isUnreached: unreached >= maxUnreached,
	};
};
