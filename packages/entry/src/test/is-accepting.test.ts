import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {splitAddress} from '@deckwheel/core';
import {createCallerConnections} from '../lib/host/create-caller-connections.js';
import {createRequestCounter} from '../lib/host/create-request-counter.js';
import {startServers} from '../lib/host/start-servers.js';
import {isAccepting} from '../lib/own-health/is-accepting.js';

const anyPort = '127.0.0.1:0';

const startTestServers = async () => {
	const events: string[] = [];
	const servers = await startServers({
		listen: {callers: anyPort, ready: anyPort},
		requestCounter: createRequestCounter(() => 0),
		connections: createCallerConnections(() => 0),
		onConnection: () => undefined,
		async serve(_req, res) {
			res.end('served');
		},
		isReady: () => true,
		closesAfter: () => false,
		log(event) {
			events.push(event);
		},
	});
	return {servers, events};
};

/** Connects to an address; resolves with the socket, or with the code of the error. */
const tryConnect = async (address: string): Promise<Socket | string | undefined> => new Promise(resolve => {
	const {host, port} = splitAddress(address);
	const socket = connect(port, host);
	socket.once('connect', () => {
		resolve(socket);
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		resolve(error.code);
	});
});

const busy = {
	wasAccepting: true, isOverloaded: true, openShare: 0.3, hallHosts: 20,
};

// Its callers came back to it for as long as it accepted them, and the bodies of their refused requests kept its link full.
test('a host that has far more than others accepts connections while it cannot keep up', t => {
	t.false(isAccepting(busy));
	t.true(isAccepting({...busy, isOverloaded: false}));
});

test('a host accepts connections again as soon as its share falls, and refuses them again', t => {
	t.true(isAccepting({...busy, openShare: 0.08}));
	t.false(isAccepting({...busy, wasAccepting: false, openShare: 0.08}));
	t.true(isAccepting({...busy, wasAccepting: false, openShare: 0.04}));
});

test('hosts that are all busy refuse connections, or one does that few others could stand in for', t => {
	t.true(isAccepting({...busy, openShare: 1 / 20}));
	t.true(isAccepting({...busy, openShare: 1, hallHosts: 4}));
});

test('an overloaded host that does not know the load of others changes whether it accepts connections', t => {
	t.true(isAccepting({...busy, openShare: undefined}));
	t.false(isAccepting({...busy, wasAccepting: false, openShare: undefined}));
	t.true(isAccepting({
		...busy, wasAccepting: false, isOverloaded: false, openShare: undefined,
	}));
});

test('a host that accepts no connections breaks off those that are open, or does not accept any again', async t => {
	const {servers, events} = await startTestServers();
	const open = await tryConnect(servers.addresses.callers);
	t.is(typeof open, 'object');
	servers.setAccepting(false);
	t.is(await tryConnect(servers.addresses.callers), 'ECONNREFUSED');
	if (typeof open === 'object') {
		open.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
		const [answer] = await once(open, 'data') as [Uint8Array];
		t.regex(answer.toString(), /^HTTP\/1.1 200/);
		open.destroy();
	}

	servers.setAccepting(true);
	const again = await tryConnect(servers.addresses.callers);
	t.is(typeof again, 'object');
	if (typeof again === 'object') {
		again.destroy();
	}

	t.deepEqual(events, ['accepting', 'accepting']);
	servers.kill();
});

test('a host that stops accepts connections again', async t => {
	const {servers} = await startTestServers();
	servers.setAccepting(false);
	servers.stopListening();
	servers.setAccepting(true);
	t.is(await tryConnect(servers.addresses.callers), 'ECONNREFUSED');
	servers.kill();
});
