import type {EventCounter} from '@deckwheel/host-kit';
import type {Mesh} from '@deckwheel/mesh';
import type {ReplyTracker} from './reply-tracker.js';

const typeOf = (message: unknown): string => (message as {readonly type: string}).type;

/**
Wraps the links to peers, so that an event counter counts the requests to peers by type and result (`lend:answered`, `lend:unknown`).

`quietest_ms` is the longest time for which a link had received nothing at all when a request on it failed, in ms. It tells a dead link from
a slow peer: over a link to a peer that only replies late, something has arrived a moment ago. `replies` tracks the same for the host as a whole.
*/
export const countPeerRequests = (mesh: Mesh, counter: EventCounter, replies: Pick<ReplyTracker, 'noteAnswered' | 'noteUnanswered'>): Mesh => ({
	...mesh,
	async request(address, body, timeoutMs) {
		const result = await mesh.request(address, body, timeoutMs);
		counter.increment(`${typeOf(body)}:${result.ok ? 'answered' : result.error}`);
		const quietMs = mesh.quietMs(address);
		if (result.ok) {
			replies.noteAnswered();
			return result;
		}

		replies.noteUnanswered(quietMs);
		if (quietMs !== undefined) {
			counter.recordMax('quietest_ms', Math.round(quietMs));
		}

		return result;
	},
});
