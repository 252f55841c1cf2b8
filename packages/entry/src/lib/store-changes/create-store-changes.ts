import {rankByRendezvous, sampleOf} from '@deckwheel/core';
import type {Log} from '../../adapter/log.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {StoreChanges} from '../../adapter/store-changes.js';
import type {PeerLinks} from '../peers/peer-links.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {smallHall} from '../peers/small-hall.js';
import {interpretChangeReply} from './interpret-change-reply.js';
import {topicPatchSchema} from './topic-patch-schema.js';
import type {ChangeRegistry} from './change-registry.js';
import {changeReplySchema} from './change-reply-schema.js';

/** How much longer than its hold time a reply may take before the request times out, in ms. */
const replySlackMs = 150;

type Options = {
	/** The name of this incarnation of the host, as a holder of rights. */
	readonly holder: string;
	readonly registry: ChangeRegistry;
	/** A random number from 0 up to but not including 1. */
	readonly random: () => number;
	readonly log: Log;
	readonly links: () => Pick<PeerLinks, 'mesh' | 'hallPeers' | 'others' | 'hallSize' | 'suspect'>;
};

/**
Creates the requesting side of change notifications: finds the host that follows a topic of the store for the hall, and asks that host
whether the topic changed. Publishing goes to this host's own registry.
*/
export const createStoreChanges = ({holder, registry, links, random, log}: Options): StoreChanges => {
	/** The peer that follows a topic for this hall; `undefined` where this host follows it, as every host of a small hall does. */
	const followerOf = (topic: string): ListedPeer | undefined => {
		if (links().hallSize() <= smallHall) {
			return undefined;
		}

		const byAddress = new Map(links().hallPeers().map(peer => [peer.address, peer]));
		const [followerAddress] = rankByRendezvous(`topic ${topic}`, [...byAddress.keys()]);
		const follower = byAddress.get(followerAddress!);
		return follower?.holder === holder ? undefined : follower;
	};

	const anyPeer = (): ListedPeer | undefined => {
		const others = links().hallPeers().filter(peer => peer.holder !== holder);
		return sampleOf(others.length > 0 ? others : links().others(), 1, random)[0];
	};

	return {
		publish: registry.publish,
		offer: registry.offer,
		noteStoreAnswer: registry.noteStoreAnswer,
		hasSubscribers: registry.hasSubscribers,
		isFollower: topic => followerOf(topic) === undefined,
		async waitForChange(topic, after, holdMs, freshMs) {
			const follower = followerOf(topic);
			const mesh = links().mesh();
			if (!follower || !mesh) {
				return {type: 'unknown'};
			}

			// `news` is the name on the wire of a request whether a topic changed.
			const reply = await mesh.request(follower.address, {
				type: 'news', topic, after, holdMs,
			}, holdMs + replySlackMs);
			if (!reply.ok) {
				links().suspect(follower.address);
				return {type: 'unknown'};
			}

			const changeReply = readPeerReply(changeReplySchema, reply.value, {address: follower.address, type: 'news'}, log);
			return changeReply ? interpretChangeReply(changeReply, after, freshMs) : {type: 'unknown'};
		},
		async requestPatch(from, topic, after, {base, timeoutMs}) {
			const peer = from === 'follower' ? followerOf(topic) : anyPeer();
			// An undefined field would arrive as null.
			const message = {
				type: 'patch', topic, after, ...(base === undefined ? {} : {base}),
			};
			const reply = peer && await links().mesh()?.request(peer.address, message, timeoutMs);
			// A host of an earlier release replies nothing.
			return reply?.ok && reply.value !== undefined ? readPeerReply(topicPatchSchema, reply.value, {address: peer!.address, type: 'patch'}, log) : undefined;
		},
	};
};
