/**
Guards against loans that never arrive: on a simulated day of 82 hosts, 1,162,117 of 31,339,890 lent tokens were not received. The lenders were too
busy to reply in time, and the hosts that had asked lacked nothing later, so they did not ask again. One loan was of 498,069 tokens, a fifteenth of
its budget.
*/
import test from 'ava';
import {fail, succeed} from '@deckwheel/core';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {defaultTimeouts} from '../default-timeouts.js';
import {createLoanClient} from '../lib/lending/create-loan-client.js';
import {createMissingReplies} from '../lib/lending/create-missing-replies.js';

const peer = (name: string): ListedPeer => ({holder: `${name}#a`, address: name, hall: 'h'});

test('a host asks what it was lent by a peer whose reply did not arrive, until it hears it', async t => {
	let isReplyLost = true;
	let total = 0;
	const asked: unknown[] = [];
	const received: number[] = [];
	const loanClient = createLoanClient({
		mesh: () => ({
			port: 0,
			async request(_address, body) {
				asked.push((body as {tokens: number}).tokens);
				total = 500;
				return isReplyLost ? fail('unknown') : succeed({lender: 'a#a', total, reachesStore: true});
			},
			send: () => undefined,
			quietMs: () => undefined,
			close: async () => undefined,
		}),
		onLoan(_budget, _from, lent) {
			received.push(lent);
		},
		receivedFrom: () => 0,
		onSilence: () => undefined,
		replyTimeoutMs: defaultTimeouts.peerMs,
		log: () => undefined,
		now: () => 0,
	});
	await loanClient.borrow({
		budget: 'org', tokens: 500, demanded: 0, peers: [peer('a')], isEnough: () => false,
	});
	await loanClient.collect();
	isReplyLost = false;
	await loanClient.collect();
	await loanClient.collect();
	t.deepEqual(received, [500]);
	t.deepEqual(asked, [500, 1, 1], 'it asks for no further loan, and no more once it knows');
});

test('missing replies are asked for in turn, and no more after 30 s', t => {
	let time = 0;
	const replies = createMissingReplies(() => time);
	for (const name of ['a', 'b', 'c']) {
		replies.note(peer(name), 'org');
	}

	const next = () => replies.next(2).map(({peer: {address}}) => address);
	t.deepEqual(next(), ['a', 'b']);
	t.deepEqual(next(), ['c', 'a']);
	replies.end(peer('b'), 'org');
	t.deepEqual(next(), ['c', 'a']);
	time = 30_000;
	t.deepEqual(next(), []);
});
