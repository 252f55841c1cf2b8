import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError, Mesh} from '@deckwheel/mesh';
import {transferred} from '@deckwheel/ledger';
import {defaultTimeouts} from '../default-timeouts.js';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {createLoanClient} from '../lib/lending/create-loan-client.js';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {stepAccount} from '../lib/rights/step-account.js';

const meshOf = (request: Mesh['request']): Mesh => ({
	port: 0, request, send: () => undefined, quietMs: () => undefined, close: async () => undefined,
});

const peer = (holder: string, address: string): ListedPeer => ({holder, address, hall: 'h'});

type ClientOptions = Parameters<typeof createLoanClient>[0];

const createClient = (options: Pick<ClientOptions, 'mesh'> & Partial<ClientOptions>) => createLoanClient({
	onLoan: () => undefined,
	receivedFrom: () => 0,
	onSilence: () => undefined,
	replyTimeoutMs: defaultTimeouts.peerMs,
	log: () => undefined,
	now: () => 0,
	...options,
});

test('the loan of a restarted host that is asked under its old and its new name counts once', async t => {
	// Both addresses lead to one incarnation of the host.
	const mesh = meshOf(async () => succeed({lender: 'edge-1#new', total: 50, reachesStore: true}));
	let account = emptyHostAccount;
	const loanClient = createClient({
		mesh: () => mesh,
		onLoan(_budget, from, total) {
			account = stepAccount(account, {type: 'received', from, total});
		},
	});
	await loanClient.borrow({
		budget: 'budget', tokens: 100, demanded: 0, peers: [peer('edge-1#old', '127.0.0.1:1'), peer('edge-1#new', '127.0.0.1:2')], isEnough: () => false,
	});
	t.is(transferred(account), 50);
});

test('a peer is reported as silent after two missing replies in a row, or at once when it is unreachable', async t => {
	const reportedSilent: string[] = [];
	const errors: LinkError[] = ['unknown', 'unknown', 'unreachable'];
	const loanClient = createClient({
		mesh: () => meshOf(async () => fail(errors.shift()!)),
		onSilence(address) {
			reportedSilent.push(address);
		},
	});
	const borrow = async () => loanClient.borrow({
		budget: 'budget', tokens: 100, demanded: 0, peers: [peer('edge-1#a', '127.0.0.1:1')], isEnough: () => false,
	});
	await borrow();
	t.is(reportedSilent.length, 0);
	await borrow();
	t.is(reportedSilent.length, 1);
	await borrow();
	t.is(reportedSilent.length, 2);
});

test('a malformed reply to rights that were handed back is logged, and the result is unknown', async t => {
	const logged: string[] = [];
	const loanClient = createClient({
		mesh: () => meshOf(async () => succeed({isTaken: 'yes'})),
		log(event) {
			logged.push(event);
		},
	});
	t.is(await loanClient.handBack(peer('edge-1#a', '127.0.0.1:1'), 'budget', 100), 'unknown');
	t.deepEqual(logged, ['peer_reply_malformed']);
});

test('peers are asked only until the deadline, which also shortens the timeout of each reply', async t => {
	let time = 0;
	const timeouts: number[] = [];
	const loanClient = createClient({
		mesh: () => meshOf(async (_address, _body, timeoutMs) => {
			timeouts.push(timeoutMs);
			time += 50;
			return fail('unknown');
		}),
		now: () => time,
	});
	await loanClient.borrow({
		budget: 'budget', tokens: 100, demanded: 0, peers: ['a', 'b', 'c', 'd'].map(name => peer(`${name}#1`, name)), deadline: 80, isEnough: () => false,
	});
	t.deepEqual(timeouts, [80, 30]);
});

// Guards against a pause in loans after peers were not asked at all.
test('a loan whose deadline passes before all peers were asked is not conclusive', async t => {
	let time = 0;
	const loanClient = createClient({
		mesh: () => meshOf(async () => {
			time += 100;
			return succeed({lender: 'edge-1#a', total: 0, reachesStore: true});
		}),
		now: () => time,
	});
	const peers = ['127.0.0.1:1', '127.0.0.1:2'].map(address => peer(address, address));
	const borrowUntil = async (deadline: number) => loanClient.borrow({
		budget: 'budget', tokens: 100, demanded: 0, peers, deadline, isEnough: () => false,
	});
	t.deepEqual(await borrowUntil(100), {hasReachedStore: true, isConclusive: false});
	t.deepEqual(await borrowUntil(time + 1000), {hasReachedStore: true, isConclusive: true});
});

test('a loan is conclusive if a peer replied and none keeps what it has', async t => {
	const received = 30;
	const replies: Readonly<Record<string, Result<unknown, LinkError>>> = {
		'127.0.0.1:1': fail('unknown'),
		'127.0.0.1:2': succeed({lender: 'edge-2#a', total: received, reachesStore: true}),
		'127.0.0.1:3': succeed({
			lender: 'edge-3#a', total: received, reachesStore: false, isKept: true,
		}),
	};
	const loanClient = createClient({
		mesh: () => meshOf(async address => replies[address]!),
		receivedFrom: () => received,
	});
	const borrowFrom = async (...addresses: readonly string[]) => loanClient.borrow({
		budget: 'budget', tokens: 100, demanded: 0, peers: addresses.map(address => peer(address, address)), isEnough: () => false,
	});
	t.deepEqual(await borrowFrom('127.0.0.1:1'), {hasReachedStore: false, isConclusive: false});
	t.deepEqual(await borrowFrom('127.0.0.1:1', '127.0.0.1:2'), {hasReachedStore: true, isConclusive: true});
	t.deepEqual(await borrowFrom('127.0.0.1:2', '127.0.0.1:3'), {hasReachedStore: true, isConclusive: false});
});
