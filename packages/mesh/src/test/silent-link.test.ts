/**
Users saw: in halls of more than four hosts 58 % of the usual was served while connections were silent, and it did not
recover.

Order of events: open connections stop carrying anything, without a reset; new ones work. A host asks a peer for rights over
its link, gets no answer, gives the question up and keeps the link. So does every later question on it. Hosts that only
borrow find no rights and refuse; those that draw for themselves instead write over each other in the store.

Cause: what was kept was judged by nobody. The end of a question's time said nothing of its link, and only a closed link was
dialled anew.

Evidence: the `peer_questions` lines of the first day of this kind.
*/
import test from 'ava';
import {startRelay} from '@deckwheel/stand-ins';
import type {Mesh} from '../mesh.js';
import {openMesh} from '../open-mesh.js';

/** How long one question may take, in ms, and how many are asked: enough for a slow machine, and an end for a link that stays silent. */
const askMs = 100;
const mostQuestions = 100;

const openNamed = async (incarnation: string): Promise<Mesh> => openMesh({
	self: {incarnation, hall: 'h'},
	secret: 'secret',
	listen: {host: '127.0.0.1', port: 0},
	handlers: {onRequest: async (_from, body) => body, onMessage: () => undefined},
});

const isEverAnswered = async (mesh: Mesh, address: string): Promise<boolean> => {
	for (let asked = 0; asked < mostQuestions; asked++) {
		const reply = await mesh.request(address, {asked}, askMs);
		if (reply.ok) {
			return true;
		}
	}

	return false;
};

test('a peer is reached again after the link to it went silent', async t => {
	const [asker, peer, relay] = await Promise.all([openNamed('edge-1#a'), openNamed('edge-2#a'), startRelay()]);
	t.teardown(async () => {
		await Promise.all([asker.close(), peer.close(), relay.close()]);
	});
	relay.aimAt(peer.port);
	const address = `127.0.0.1:${relay.port}`;
	t.true(await isEverAnswered(asker, address));
	for (let times = 0; times < 2; times++) {
		relay.silence();
		t.true(await isEverAnswered(asker, address));
	}
});
