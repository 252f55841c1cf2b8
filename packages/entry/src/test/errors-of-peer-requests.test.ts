import test from 'ava';
import {createPeerRequestHandler} from '../lib/peers/create-peer-request-handler.js';

test('guards against a request of a peer that ends this host since its handler throws', async t => {
	const logged: unknown[] = [];
	const fail = (): never => {
		throw new RangeError('from a test');
	};

	const replyTo = createPeerRequestHandler({
		holder: 'edge-1#a',
		log(event, fields) {
			logged.push([event, fields?.from, fields?.type, String(fields?.stack).includes('from a test')]);
		},
		now: () => 0,
		lend: fail,
		takeBack: fail,
		answerChanges: fail,
		answerPatch: fail,
		answerSuspicions: fail,
		answerPermit: fail,
		answerLimits: fail,
		answerLoad: fail,
		answerOrigins: fail,
		answerTunnel: fail,
		answerReach: fail,
		answerTunnelEnd: fail,
	});
	const from = {incarnation: 'edge-2#a', hall: 'h'};
	t.is(await replyTo(from, {type: 'patch', topic: 'servers', after: 1}), undefined);
	t.is(await replyTo(from, {
		type: 'news', topic: 'servers', after: 1, holdMs: 1,
	}), undefined);
	t.is(await replyTo(from, {
		type: 'hand_back', to: 'edge-1#a', budget: 'b', total: 1,
	}), undefined);
	t.deepEqual(logged, ['patch', 'news', 'hand_back'].map(type => ['peer_request_failed', 'edge-2#a', type, true]));
});
