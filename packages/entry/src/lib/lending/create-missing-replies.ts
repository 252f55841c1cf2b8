import type {ListedPeer} from '../../adapter/listed-peer.js';

/** How long a missing reply is asked for again, in ms: longer than most outages of links. After that the loan stays with the lender's record. */
const maxAgeMs = 30_000;

/** The most missing replies that are remembered, which bounds memory and messages. */
const maxReplies = 100;

/** A loan request that a peer did not reply to in time. The peer may have lent rights for it. */
type MissingReply = {readonly peer: ListedPeer; readonly budget: string; readonly since: number};

/** The loan requests whose replies are missing, one for each peer and budget. */
type MissingReplies = {
	readonly note: (peer: ListedPeer, budget: string) => void;
	/** Notes that the peer has replied about the budget: each reply tells all that it ever lent. */
	readonly end: (peer: ListedPeer, budget: string) => void;
	/** The oldest ones, at most `count`. Those that are returned count as the newest from then on. */
	readonly next: (count: number) => readonly MissingReply[];
};

/**
Creates an empty record of missing replies.

@param now Monotonic ms.
*/
export const createMissingReplies = (now: () => number): MissingReplies => {
	const replies = new Map<string, MissingReply>();
	const keyOf = ({address}: ListedPeer, budget: string): string => `${address}\n${budget}`;

	return {
		note(peer, budget) {
			const key = keyOf(peer, budget);
			if (!replies.has(key) && replies.size < maxReplies) {
				replies.set(key, {peer, budget, since: now()});
			}
		},
		end(peer, budget) {
			replies.delete(keyOf(peer, budget));
		},
		next(count) {
			for (const [key, {since}] of replies) {
				if (now() - since >= maxAgeMs) {
					replies.delete(key);
				}
			}

			const next = [...replies].slice(0, count);
			for (const [key, reply] of next) {
				replies.delete(key);
				replies.set(key, reply);
			}

			return next.map(([, reply]) => reply);
		},
	};
};
