import {rankByRendezvous} from '@deckwheel/core';
import type {Log} from '../../adapter/log.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {smallHall} from '../peers/small-hall.js';
import {interpretChangeReply} from './interpret-change-reply.js';
import type {ChangeRegistry} from './change-registry.js';
import {changeReplySchema} from './change-reply-schema.js';

/** What a reply may take beyond the time for which it is held, in ms. */
const slackMs = 150;

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly board: ChangeRegistry;
	readonly log: Log;
	readonly links: () => Pick<PeerLinks, 'mesh' | 'hallPeers' | 'hallSize' | 'suspect'>;
};

/** Creates the asking side of change notifications: knows who follows a topic for the hall, and asks it. */
export const createStoreChanges = ({holder, board, links, log}: Options): StoreChanges => {
	/** The peer that follows a topic for this hall; `undefined` where this host does, or each does. */
	const followerOf = (topic: string): ListedPeer | undefined => {
		if (links().hallSize() <= smallHall) {
			return undefined;
		}

		const byAddress = new Map(links().hallPeers().map(peer => [peer.address, peer]));
		const [first] = rankByRendezvous(`topic ${topic}`, [...byAddress.keys()]);
		const follower = byAddress.get(first!);
		return follower?.holder === holder ? undefined : follower;
	};

	return {
		publish: board.publish,
		noteStoreAnswer: board.noteStoreAnswer,
		hasSubscribers: board.hasSubscribers,
		isFollower: topic => followerOf(topic) === undefined,
		async waitForChange(topic, after, holdMs, freshMs) {
			const follower = followerOf(topic);
			const mesh = links().mesh();
			if (!follower || !mesh) {
				return {type: 'unknown'};
			}

			// `news` is the name of this message on the wire between hosts.
			const reply = await mesh.request(follower.address, {
				type: 'news', topic, after, holdMs,
			}, holdMs + slackMs);
			if (!reply.ok) {
				links().suspect(follower.address);
				return {type: 'unknown'};
			}

			const changes = readPeerReply(changeReplySchema, reply.value, {address: follower.address, type: 'news'}, log);
			return changes ? interpretChangeReply(changes, after, freshMs) : {type: 'unknown'};
		},
	};
};
