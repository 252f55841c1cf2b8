import type {Socket} from 'node:net';
import {sampleOf} from '@deckwheel/core';
import type {Tunnels} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Timeouts} from '../../timeouts.js';
import {askInTurn} from './ask-in-turn.js';
import {isBarredForSilence} from './is-barred-for-silence.js';
import {createUnreachedEndpoints} from './create-unreached-endpoints.js';
import {maxReachEndpoints} from './max-reach-endpoints.js';
import type {PeerRecord} from './peer-record.js';
import {pickPeers} from './pick-peers.js';
import type {ReachReply} from './reach-reply.js';
import {stepPeerRecord} from './step-peer-record.js';
import type {TunnelEndReply} from './tunnel-end-reply.js';
import type {TunnelClient} from './tunnel-client.js';
import type {TunnelOutcome} from './tunnel-outcome.js';
import type {TunnelTicket} from './tunnel-ticket.js';
import type {TunnelReply} from './tunnel-reply.js';
import {unknownPeer} from './unknown-peer.js';

/**
The most peers that are asked for one tunnel, one after the other, while time is left. Those that know that their own links are cut say so at once, so
where most hosts are cut off, the few that are not are found.
*/
const maxAsked = 8;

/** The most peers that are asked together which endpoints they reach, of all halls: so many that some are not cut off, whatever part of the hosts is. */
const maxReachAsked = 6;

type Options = {
	readonly hall: string;
	/** All other listed hosts. */
	readonly others: () => readonly ListedPeer[];
	readonly tunnels: () => Tunnels | undefined;
	/** Asks a peer for a tunnel to the endpoint with this id; `undefined` if it did not reply in time. */
	readonly requestTunnel: (address: string, endpoint: string, timeoutMs: number) => Promise<TunnelReply | undefined>;
	/** Asks a peer which endpoints it reaches; `undefined` if it did not reply in time. */
	readonly requestReach: (address: string, endpoints: readonly string[], timeoutMs: number) => Promise<ReachReply | undefined>;
	/** Asks a peer whether an endpoint ended a tunnel; `undefined` if it did not reply in time, or does not know the question. */
	readonly requestEnd: (tunnel: TunnelTicket, endpoint: string, timeoutMs: number) => Promise<TunnelEndReply | undefined>;
	/**
	All peers that are asked for one tunnel get twice `tunnelMs` together; the hand-over of the connection may take `connectMs`. A peer that is asked
	for the end of a tunnel gets both, and `connectMs` once more, since it asks the endpoint, at times more than once, and may be late as any.
	*/
	readonly timeouts: Pick<Timeouts, 'connectMs' | 'tunnelMs'>;
	readonly count: (name: string) => void;
	/** A random number from 0 up to 1. */
	readonly random: () => number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Nothing is known, since no peer was to be asked. */
const notAsked: TunnelOutcome = {socket: undefined, linkMs: undefined, isSilent: false};

/** Creates the side of tunnels that asks peers. It owns what peers last replied, and which endpoints no peer reached. */
export const createTunnelClient = ({hall, others, tunnels, requestTunnel, requestReach, requestEnd, timeouts, count, random, now}: Options): TunnelClient => {
	const recordByAddress = new Map<string, PeerRecord>();
	const unreached = createUnreachedEndpoints(now);

	const recordOf = (address: string): PeerRecord => recordByAddress.get(address) ?? unknownPeer;

	const pick = (): readonly ListedPeer[] => pickPeers({
		peers: others(), hall, recordOf: ({address}) => recordOf(address), count: maxAsked, random, now: now(),
	});

	const ask = async (address: string, endpoint: string, endBy: number): Promise<TunnelReply | undefined> => {
		const reply = await requestTunnel(address, endpoint, endBy - now());
		count(`asked_${reply?.outcome ?? 'unanswered'}`);
		recordByAddress.set(address, stepPeerRecord(recordOf(address), reply, now()));
		return reply;
	};

	const takeOver = async ({address}: ListedPeer, {ticket}: TunnelReply): Promise<Socket | undefined> => {
		const socket = ticket === undefined ? undefined : await tunnels()?.open(address, ticket, timeouts.connectMs);
		if (!socket) {
			count('not_taken_over');
		}

		return socket;
	};

	return {
		async open({id}) {
			if (unreached.has(id)) {
				return notAsked;
			}

			const peers = pick();
			if (peers.length === 0) {
				return {...notAsked, isSilent: others().every(({address}) => isBarredForSilence(recordOf(address), now()))};
			}

			const endBy = now() + (2 * timeouts.tunnelMs);
			const outcome = await askInTurn(peers, {
				ask: async ({address}) => ask(address, id, endBy), takeOver, endBy, now,
			});
			if (outcome.isUnreached) {
				unreached.note(id);
			}

			return outcome;
		},
		async reachedByPeers(endpoints) {
			const asked = endpoints.slice(0, maxReachEndpoints);
			const replies = await Promise.all(sampleOf(others(), maxReachAsked, random).map(async ({address}) => requestReach(address, asked, 2 * timeouts.tunnelMs)));
			return new Set(replies.flatMap(reply => reply?.reached ?? []));
		},
		async confirmEnd(tunnel, endpoint) {
			const reply = await requestEnd(tunnel, endpoint, (2 * timeouts.connectMs) + timeouts.tunnelMs);
			count(`asked_end_${reply ? (reply.hasEnded ? 'confirmed' : 'denied') : 'unanswered'}`);
			return reply?.hasEnded ?? false;
		},
	};
};
