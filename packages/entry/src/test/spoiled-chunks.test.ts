/**
Guards against responses with a spoiled framing of chunks that count as whole, or of which bytes after the spoiled place reach the caller, and against
sound ones that count as spoiled. Some versions of node:http take any two bytes for the end of a chunk.
*/
import {Buffer} from 'node:buffer';
import {setTimeout} from 'node:timers/promises';
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {readWholeBody} from './lib/read-whole-body.js';
import {callHost} from './lib/call-host.js';
import {closedAddress} from './lib/closed-address.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {relayToText} from './lib/relay-to-text.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';
import {startRawEndpoint} from './lib/start-raw-endpoint.js';

/** How long the next bytes wait, in ms, so that they come as a packet of their own. */
const pauseMs = 5;

const headOf = (id = 'r1', lines = 'Transfer-Encoding: chunked'): string =>
	`HTTP/1.1 200 OK\r\n${headerNames.requestId}: ${id}\r\n${headerNames.stamp}: e\r\n${lines}\r\n\r\n`;

const chunkOf = (data: string): string => `${data.length.toString(16)}\r\n${data}\r\n`;

const lastChunk = '0\r\n\r\n';

const spoiled = '7\r\nspoiledXX0\r\n\r\n';

const sound = `${chunkOf('so')}${chunkOf('und')}${lastChunk}`;

const writePackets = async (socket: Socket, packets: readonly string[]): Promise<void> => {
	socket.setNoDelay(true);
	for (const packet of packets) {
		socket.write(packet, 'latin1');
		await setTimeout(pauseMs);
	}
};

/** Sends one request to an endpoint that responds with these packets, and then leaves the connection open. */
const respondWith = async (t: ExecutionContext, packets: readonly string[], method = 'GET') => {
	const endpoint = await startRawEndpoint('e', (_req, socket) => {
		void writePackets(socket, packets);
	});
	t.teardown(endpoint.close);
	return sendOneAttempt(endpoint.listed.address, {method});
};

/** The body that counts as whole; `undefined` where none does. */
const wholeBody = async (t: ExecutionContext, packets: readonly string[], method = 'GET'): Promise<string | undefined> => {
	const result = await respondWith(t, packets, method);
	const body = result.type === 'answered' ? await readWholeBody(result.response) : undefined;
	return body && Buffer.from(body).toString('latin1');
};

/** A text cut in two at each of its bytes. */
const cutsOf = (text: string): ReadonlyArray<readonly [string, string]> =>
	Array.from({length: text.length - 1}, (_, index) => [text.slice(0, index + 1), text.slice(index + 1)] as const);

test('a response with a spoiled chunk end that comes in two packets, cut at some byte, counts as whole', async t => {
	const bodies = await Promise.all(cutsOf(headOf() + spoiled).map(async packets => wholeBody(t, packets)));
	t.deepEqual([...new Set(bodies)], [undefined]);
});

test('a sound response that comes in two packets, cut at some byte, counts as spoiled', async t => {
	const bodies = await Promise.all(cutsOf(headOf() + sound).map(async packets => wholeBody(t, packets)));
	t.deepEqual([...new Set(bodies)], ['sound']);
});

test('a sound response that comes byte by byte counts as spoiled', async t => {
	t.is(await wholeBody(t, [...headOf(), ...sound]), 'sound');
});

test('an informational response before the head hides a spoiled chunk, or spoils a sound one', async t => {
	const early = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
	t.is(await wholeBody(t, [early + early + headOf() + sound]), 'sound');
	t.is(await wholeBody(t, [early + early + headOf() + spoiled]), undefined);
	const cuts = cutsOf(early + headOf());
	const soundBodies = await Promise.all(cuts.map(async ([first, rest]) => wholeBody(t, [first, rest + sound])));
	const spoiledBodies = await Promise.all(cuts.map(async ([first, rest]) => wholeBody(t, [first, rest + spoiled])));
	t.deepEqual([...new Set(soundBodies)], ['sound']);
	t.deepEqual([...new Set(spoiledBodies)], [undefined]);
});

test('a response without a body counts as spoiled because its head names chunks', async t => {
	t.is(await wholeBody(t, [headOf()], 'HEAD'), '');
	t.is(await wholeBody(t, [headOf().replace('200 OK', '304 Not Modified')]), '');
});

test('a body with a length counts as spoiled because it looks like spoiled chunks', async t => {
	t.is(await wholeBody(t, [headOf('r1', `Content-Length: ${spoiled.length}`) + spoiled]), spoiled);
});

test('bytes after the last chunk count as a part of the framing', async t => {
	t.is(await wholeBody(t, [`${headOf()}${sound}\0surplus`]), 'sound');
	t.is(await wholeBody(t, [headOf(), `${sound}\0surplus`]), 'sound');
});

test('extensions and trailers count as a spoiled framing', async t => {
	t.is(await wholeBody(t, [`${headOf()}5;a=b\r\nsound\r\n0;c="d e"\r\nx-trailer: 1\r\n\r\n`]), 'sound');
});

test('a large chunk counts as spoiled', async t => {
	const data = 'x'.repeat(8 * 1024 * 1024);
	const body = await wholeBody(t, [headOf() + chunkOf(data) + lastChunk]);
	t.is(body?.length, data.length);
	t.is(await wholeBody(t, [`${headOf()}${chunkOf(data).slice(0, -2)}XX${lastChunk}`]), undefined);
});

const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'] as const;

for (const [what, packets] of Object.entries({
	'beside its head': [`${headOf()}${chunkOf(events[0]).slice(0, -2)}XX${chunkOf(events[1])}${lastChunk}`],
	'in a later packet': [headOf(), chunkOf(events[0]), `${chunkOf(events[1]).slice(0, -2)}XX${chunkOf(events[2])}${lastChunk}`],
	'size in the next packet': [headOf() + chunkOf(events[0]), `\n\n${chunkOf(events[1])}${lastChunk}`],
	'between two packets': [headOf() + chunkOf(events[0]).slice(0, -2), `XX${chunkOf(events[1])}${lastChunk}`],
	'cut in two': [headOf() + chunkOf(events[0]).slice(0, -1), `X${chunkOf(events[1])}${lastChunk}`],
})) {
	test(`events after a spoiled chunk ${what} are relayed, or the stream counts as whole`, async t => {
		const result = await respondWith(t, packets);
		if (result.type !== 'answered') {
			t.fail(`the attempt ended with ${result.type}`);
			return;
		}

		const {type, received} = await relayToText(result.response);
		t.is(type, 'broken');
		t.true(['', events[0]].includes(received), received);
	});
}

test('a sound stream whose packets are cut at some byte counts as spoiled', async t => {
	const stream = headOf() + events.map(event => chunkOf(event)).join('') + lastChunk;
	await Promise.all(cutsOf(stream).map(async packets => {
		const result = await respondWith(t, packets);
		t.is(result.type, 'answered');
		t.deepEqual(result.type === 'answered' && await relayToText(result.response), {type: 'whole', count: 3, received: events.join('')});
	}));
});

test('the response before it on a kept connection hides a spoiled chunk, or spoils a sound one', async t => {
	const bodies = [sound, sound, spoiled, sound];
	const sockets = new Set<Socket>();
	const endpoint = await startRawEndpoint('e0', ({id}, socket) => {
		sockets.add(socket);
		socket.write(headOf(id) + bodies.shift()!);
	});
	const host = await startHost(createMemoryRightsStore());
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({kind: 'once'})]}));
	host.entry.listEndpoints([endpoint.listed]);
	const statuses: number[] = [];
	for (let call = 0; call < 4; call++) {
		const {status} = await callHost(host.callers);
		statuses.push(status);
	}

	t.deepEqual(statuses, [200, 200, 502, 200]);
	// The connection of the first three carries no more.
	t.is(sockets.size, 2);
	await host.logged('response_broken', ({end}) => end === 'INVALID_CHUNK' || String(end).startsWith('HPE_'));
});

for (const [what, {body, expected}] of Object.entries({spoiled: {body: spoiled, expected: 502}, sound: {body: sound, expected: 200}})) {
	test(`a ${what} response through a tunnel of a peer gets another verdict than without one`, async t => {
		const endpoint = await startRawEndpoint('e0', ({id}, socket) => {
			void writePackets(socket, [headOf(id) + body.slice(0, 11), body.slice(11)]);
		});
		const peers = new Map<string, ListedPeer>();
		const hosts = await Promise.all(['edge-1', 'edge-2'].map(async host => startHost(createMemoryRightsStore(), {host, hall: 'hall-a', peers})));
		t.teardown(async () => {
			await Promise.all(hosts.map(async ({entry}) => entry.kill()));
			endpoint.close();
		});
		const unreachable = {...endpoint.listed, address: await closedAddress()};
		for (const [index, {entry}] of hosts.entries()) {
			entry.configure(makeConfig({routes: [makeRoute({kind: 'once'})]}));
			entry.listEndpoints([index === 0 ? unreachable : endpoint.listed]);
		}

		await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hosts.length)));
		const {status} = await callHost(hosts[0]!.callers);
		t.is(status, expected);
		await hosts[0]!.logged(expected === 200 ? 'request_answered' : 'response_broken', ({through}) => through !== undefined);
	});
}

/** Bodies in chunks of text, with up to two bytes changed anywhere. */
const changedBody = fc.tuple(
	fc.array(fc.string({unit: fc.constantFrom(...'ab 1'), minLength: 1, maxLength: 20}), {minLength: 1, maxLength: 4}),
	fc.array(fc.tuple(fc.nat(200), fc.oneof(fc.nat(255), fc.constantFrom(10, 13, 48, 49, 59))), {maxLength: 2}),
	fc.array(fc.nat(200), {maxLength: 2}),
);

/** What a naive reader takes for the body; `undefined` where its framing is spoiled. */
const decode = (text: string): string | undefined => {
	const [, head, rest] = /^([\dA-Fa-f]+)(?:;[^\r\n]*)?\r\n([^]*)$/.exec(text) ?? [];
	if (head === undefined || rest === undefined) {
		return undefined;
	}

	const size = Number.parseInt(head, 16);
	if (size === 0) {
		return /^(?:[^\r\n:]+:[^\r\n]*\r\n)*\r\n/.test(rest) ? '' : undefined;
	}

	const following = rest.slice(size, size + 2) === '\r\n' ? decode(rest.slice(size + 2)) : undefined;
	return following === undefined ? undefined : rest.slice(0, size) + following;
};

test('a body with changed bytes is passed on as whole though a naive reader finds it spoiled, or another one', async t => {
	let packets: readonly string[] = [];
	const endpoint = await startRawEndpoint('e', (_req, socket) => {
		void (async () => {
			await writePackets(socket, packets);
			socket.end();
		})();
	});
	t.teardown(endpoint.close);
	await fc.assert(fc.asyncProperty(changedBody, async ([data, changes, cuts]) => {
		const bytes = Buffer.from(data.map(text => chunkOf(text)).join('') + lastChunk, 'latin1');
		for (const [at, byte] of changes) {
			bytes[at % bytes.length] = byte;
		}

		const text = bytes.toString('latin1');
		const places = cuts.map(cut => cut % text.length).sort((a, b) => a - b);
		packets = [headOf() + text.slice(0, places[0]), ...places.map((place, index) => text.slice(place, places[index + 1]))];
		const result = await sendOneAttempt(endpoint.listed.address);
		const body = result.type === 'answered' ? await readWholeBody(result.response) : undefined;
		const received = body && Buffer.from(body).toString('latin1');
		return received === undefined ? changes.length > 0 : received === decode(text);
	}), {numRuns: 300});
	t.pass();
});
