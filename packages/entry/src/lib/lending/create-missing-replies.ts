import type {ListedPeer} from '../../adapter/listed-peer.js';

/** How long a missing reply is asked for again, in ms: longer than most outages of links. After that the loan stays with the lender's record. */
const maxAgeMs = 30_000;

/**
How long a missing reply is left alone, in ms: longer than a lender takes to make a loan. Sooner, its word might be from before the loan, and the
loan would never be asked for.
*/
const minAgeMs = 1000;

/** The most missing replies that are remembered, which bounds memory and messages. */
const maxReplies = 100;

/** A loan request that a peer did not reply to in time. The peer may have lent rights for it. */
type MissingReply = {readonly peer: ListedPeer; readonly budget: string; readonly since: number};

/** The loan requests whose replies are missing, one for each peer and budget. */
type MissingReplies = {
	/** Notes that a reply is missing. A later one begins the time of the entry anew. */
	readonly note: (peer: ListedPeer, budget: string) => void;
	/** Notes that the peer has told all that it ever lent of the budget. It may not have made a loan yet that was requested a moment ago. */
	readonly end: (peer: ListedPeer, budget: string) => void;
	/** The oldest ones that a lender must have dealt with, at most `count`. Those that are returned count as the newest from then on. */
	readonly next: (count: number) => readonly MissingReply[];
};

/**
Creates an empty record of missing replies.

@param now Monotonic ms.
*/
export const createMissingReplies = (now: () => number): MissingReplies => {
	const replies = new Map<string, MissingReply>();
	const keyOf = ({address}: ListedPeer, budget: string): string => `${address}\n${budget}`;
	const isDue = ({since}: MissingReply): boolean => now() - since >= minAgeMs;

	return {
		note(peer, budget) {
			const key = keyOf(peer, budget);
			if (replies.delete(key) || replies.size < maxReplies) {
				replies.set(key, {peer, budget, since: now()});
			}
		},
		end(peer, budget) {
			const key = keyOf(peer, budget);
			const reply = replies.get(key);
			if (reply && isDue(reply)) {
				replies.delete(key);
			}
		},
		next(count) {
			for (const [key, {since}] of replies) {
				if (now() - since >= maxAgeMs) {
					replies.delete(key);
				}
			}

			const next = [...replies].filter(([, reply]) => isDue(reply)).slice(0, count);
			for (const [key, reply] of next) {
				replies.delete(key);
				replies.set(key, reply);
			}

			return next.map(([, reply]) => reply);
		},
	};
};
