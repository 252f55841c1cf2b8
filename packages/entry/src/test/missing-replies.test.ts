/**
Guards against loans that never arrive: on a simulated day of 82 hosts, 1,162,117 of 31,339,890 lent tokens were not received. The lenders were too
busy to reply in time, and the hosts that had asked lacked nothing later, so they did not ask again. One loan was of 498,069 tokens, a fifteenth of
its budget.
*/
import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {defaultTimeouts} from '../default-timeouts.js';
import {createLoanClient} from '../lib/lending/create-loan-client.js';
import {createMissingReplies} from '../lib/lending/create-missing-replies.js';

const peer = (name: string): ListedPeer => ({holder: `${name}#a`, address: name, hall: 'h'});

type Reply = Result<unknown, LinkError>;

/** Starts a client whose peers reply as `replyTo` says, at a time that the test sets. */
const startClient = (replyTo: (tokens: number) => Reply) => {
	let time = 0;
	const asked: number[] = [];
	const received: number[] = [];
	const loanClient = createLoanClient({
		mesh: () => ({
			port: 0,
			async request(_address, body) {
				const {tokens} = body as {tokens: number};
				asked.push(tokens);
				return replyTo(tokens);
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
		now: () => time,
	});
	return {
		asked,
		received,
		at(ms: number) {
			time = ms;
		},
		collect: loanClient.collect,
		borrow: async () => loanClient.borrow({
			budget: 'org', tokens: 500, demanded: 0, peers: [peer('a')], isEnough: () => false,
		}),
	};
};

const loanOf = (total: number): Reply => succeed({lender: 'a#a', total, reachesStore: true});

test('a host asks what it was lent by a peer whose reply did not arrive, until it hears it', async t => {
	let isReplyLost = true;
	const {asked, received, at, borrow, collect} = startClient(() => isReplyLost ? fail('unknown') : loanOf(500));
	await borrow();
	at(1000);
	await collect();
	isReplyLost = false;
	await collect();
	await collect();
	t.deepEqual(received, [500]);
	t.deepEqual(asked, [500, 1, 1], 'it asks for no further loan, and no more once it knows');
});

// Guards against a word from before the loan that ends the search for it.
test('a loan that the lender makes after its next reply is asked for as well', async t => {
	let reply: Reply = fail('unknown');
	const {asked, received, at, borrow, collect} = startClient(() => reply);
	await borrow();
	at(999);
	await collect();
	t.deepEqual(asked, [500], 'the lender may not have made the loan yet');
	reply = loanOf(0);
	await borrow();
	at(1000);
	reply = loanOf(500);
	await collect();
	await collect();
	t.deepEqual(asked, [500, 500, 1]);
	t.deepEqual(received, [0, 500]);
});

test('a reply that cannot be read does not end the search', async t => {
	let reply: Reply = fail('unknown');
	const {asked, received, at, borrow, collect} = startClient(() => reply);
	await borrow();
	at(1000);
	reply = succeed({total: 'all'});
	await collect();
	await borrow();
	reply = loanOf(500);
	await collect();
	t.deepEqual(asked, [500, 1, 500, 1]);
	t.deepEqual(received, [500]);
});

test('a peer that did not receive the request is not asked what it lent', async t => {
	const {asked, at, borrow, collect} = startClient(() => fail('unreachable'));
	await borrow();
	at(1000);
	await collect();
	t.deepEqual(asked, [500]);
});

test('missing replies are asked for in turn, and no more after 30 s', t => {
	let time = 0;
	const replies = createMissingReplies(() => time);
	for (const name of ['a', 'b', 'c']) {
		replies.note(peer(name), 'org');
	}

	const next = () => replies.next(2).map(({peer: {address}}) => address);
	time = 1000;
	t.deepEqual(next(), ['a', 'b']);
	t.deepEqual(next(), ['c', 'a']);
	replies.end(peer('b'), 'org');
	t.deepEqual(next(), ['c', 'a']);
	time = 30_000;
	t.deepEqual(next(), []);
});

test('another missing reply of the same peer begins the time anew', t => {
	let time = 0;
	const replies = createMissingReplies(() => time);
	const count = () => replies.next(10).length;
	replies.note(peer('a'), 'org');
	time = 29_000;
	replies.note(peer('a'), 'org');
	t.is(count(), 0, 'the last loan may not have been made yet');
	replies.end(peer('a'), 'org');
	time = 30_000;
	t.is(count(), 1);
	time = 58_999;
	t.is(count(), 1);
	time = 59_000;
	t.is(count(), 0);
});
