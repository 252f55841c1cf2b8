import {rankByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../listed-peer.js';
import type {News} from '../news.js';
import {judgeNews} from './judge-news.js';
import type {NewsBoard} from './news-board.js';
import {newsReplySchema} from './news-reply-schema.js';
import type {PeerLinks} from './peer-links.js';
import {smallHall} from './small-hall.js';

/** What a reply may take beyond the time for which it is held, in ms. */
const slackMs = 150;

type Options = {
	/** The name of this life of the host. */
	readonly holder: string;
	readonly board: NewsBoard;
	readonly links: () => Pick<PeerLinks, 'mesh' | 'hallPeers' | 'hallSize' | 'suspect'>;
};

/** Creates the word between hosts of a hall. */
export const createNews = ({holder, board, links}: Options): News => {
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
		tell: board.tell,
		noteAlive: board.noteAlive,
		hasAskers: board.hasAskers,
		isFollower: topic => followerOf(topic) === undefined,
		async ask(topic, after, holdMs, freshMs) {
			const follower = followerOf(topic);
			const mesh = links().mesh();
			if (!follower || !mesh) {
				return {type: 'unknown'};
			}

			const reply = await mesh.request(follower.address, {
				type: 'news', topic, after, holdMs,
			}, holdMs + slackMs);
			if (!reply.ok) {
				links().suspect(follower.address);
			}

			const news = newsReplySchema.safeParse(reply.ok ? reply.value : undefined);
			return news.success ? judgeNews(news.data, after, freshMs) : {type: 'unknown'};
		},
	};
};
