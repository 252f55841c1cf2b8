/** Guards against a host that takes itself for the only one, since nothing told it of others: it then grants all of an endpoint's limit by itself. */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {PeerDirectory} from '../adapter/peer-directory.js';
import {createRegistration} from '../lib/peers/create-registration.js';
import {eventually} from './lib/start-crashing-fleet.js';

/** Longer than the wait for the hosts that start at the same time, in ms. */
const settledMs = 1300;

/** Starts a registration at a directory that answers reads while `isReadable` is true of their number. */
const startRegistration = (t: ExecutionContext, isReadable: (read: number) => boolean) => {
	let reads = 0;
	const directory: PeerDirectory = {shareSecret: async () => 'secret', register: async () => true, list: async () => []};
	const registration = createRegistration({
		directory,
		self: () => ({holder: 'edge-1#1', address: '127.0.0.1:1', hall: 'hall-a'}),
		listen: async () => undefined,
		readPeerList: async () => isReadable(reads++),
		log: () => undefined,
	});
	t.teardown(registration.close);
	void registration.start();
	return {registration, reads: () => reads};
};

test('the peers count as known though the directory never answered', async t => {
	let isAway = true;
	const {registration} = startRegistration(t, () => !isAway);
	await delay(settledMs);
	t.false(registration.isSettled());
	isAway = false;
	t.true(await eventually(() => registration.isSettled()));
});

test('the peers count as known though the directory did not answer after those that started together were listed', async t => {
	let isAway = false;
	const {registration, reads} = startRegistration(t, () => !isAway);
	await eventually(() => reads() > 0);
	isAway = true;
	await delay(settledMs);
	t.false(registration.isSettled());
	isAway = false;
	t.true(await eventually(() => registration.isSettled()));
});

test('the peers count as unknown though the directory was read after those that started together were listed', async t => {
	const {registration, reads} = startRegistration(t, () => true);
	t.true(await eventually(() => registration.isSettled()));
	t.is(reads(), 2);
});

test('guards against a registration, and a process, that one error of a read ends', async t => {
	const {registration} = startRegistration(t, read => {
		if (read === 0) {
			throw new Error('from a test');
		}

		return true;
	});
	t.true(await eventually(() => registration.isSettled()));
});
