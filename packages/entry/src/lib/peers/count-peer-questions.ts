import type {EventCounter} from '@deckwheel/host-kit';
import type {Mesh} from '@deckwheel/mesh';

const typeOf = (question: unknown): string => (question as {readonly type: string}).type;

/**
Wraps the links to peers: an event counter tells how many questions of each type ended how.

`quietest_ms` is the longest time for which nothing at all had come over a link whose peer left a question without an
answer. A link that carries nothing any more shows by it; a peer that answers late has sent something a moment ago.
*/
export const countPeerQuestions = (mesh: Mesh, tally: EventCounter): Mesh => ({
	...mesh,
	async request(address, body, timeoutMs) {
		const outcome = await mesh.request(address, body, timeoutMs);
		tally.increment(`${typeOf(body)}:${outcome.ok ? 'answered' : outcome.error}`);
		const quietMs = mesh.quietMs(address);
		if (!outcome.ok && quietMs !== undefined) {
			tally.recordMax('quietest_ms', Math.round(quietMs));
		}

		return outcome;
	},
});
