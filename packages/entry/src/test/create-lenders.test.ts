import test from 'ava';
import {succeed} from '@deckwheel/core';
import type {Mesh} from '@deckwheel/mesh';
import {createLenders} from '../lib/create-lenders.js';
import {emptyHostAccount} from '../lib/empty-host-account.js';
import {stepAccount} from '../lib/step-account.js';
import {transferredRights} from '../lib/transferred-rights.js';

test('a host that restarted is asked under both its names, and its loan counts once', async t => {
	// Both addresses lead to one life of the host.
	const mesh: Mesh = {
		port: 0,
		request: async () => succeed({lender: 'edge-1#new', total: 50}),
		send: () => undefined,
		close: async () => undefined,
	};
	let account = emptyHostAccount;
	const lenders = createLenders({
		mesh: () => mesh,
		onLoan(_budget, from, total) {
			account = stepAccount(account, {type: 'received', from, total});
		},
		receivedFrom: () => 0,
		onSilence: () => undefined,
	});
	await lenders.borrow('budget', 100, [{holder: 'edge-1#old', address: '127.0.0.1:1', hall: 'h'}, {holder: 'edge-1#new', address: '127.0.0.1:2', hall: 'h'}], () => false);
	t.is(transferredRights(account), 50);
});
