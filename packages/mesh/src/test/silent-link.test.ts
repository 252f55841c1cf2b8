/**
Guards against a silent link being kept: halls of more than four hosts served 58 % of their usual requests while connections were
silent, and did not recover.

Open connections stop delivering data without a reset, while new connections work. A host asks a peer for rights over its link, gets
no reply, gives the request up and keeps the link, and every later request over the link fails in the same way. Hosts that only borrow
rights then find none and refuse requests; hosts that draw rights from the store themselves instead conflict with each other's writes.

This happens when a request timeout does not lead to a check of the link, and only a closed link is dialled anew.

In a run with 79 hosts, where half of the connections went silent at 6 s and all at 16 s, 1,417 of 2,343 requests for rights got no
reply in the ten seconds up to 24 s. The links of these requests had received nothing for 17.8 s (the median of the longest time at
each of the 79 hosts), and that time grew from one log line to the next. A peer that was only slow would have sent something a moment
before.
*/
import test from 'ava';
import {startRelay} from '@deckwheel/stand-ins';
import type {Mesh} from '../mesh.js';
import {openMeshAs} from './lib/open-mesh-as.js';

/** The timeout of one request, in ms, and the most requests that are sent: enough for a slow machine, and a bound if the link stays silent. */
const requestTimeoutMs = 100;
const maxRequests = 100;

const hasReplyInTime = async (mesh: Mesh, address: string): Promise<boolean> => {
	for (let attempt = 0; attempt < maxRequests; attempt++) {
		const reply = await mesh.request(address, {asked: attempt}, requestTimeoutMs);
		if (reply.ok) {
			return true;
		}
	}

	return false;
};

test('a peer is reached again after the link to it went silent, twice in a row', async t => {
	const [requester, peer, relay] = await Promise.all([openMeshAs('edge-1#a'), openMeshAs('edge-2#a'), startRelay()]);
	t.teardown(async () => {
		await Promise.all([requester.close(), peer.close(), relay.close()]);
	});
	relay.aimAt(peer.port);
	const address = `127.0.0.1:${relay.port}`;
	t.true(await hasReplyInTime(requester, address));
	for (let round = 0; round < 2; round++) {
		relay.silence();
		t.true(await hasReplyInTime(requester, address));
	}
});
