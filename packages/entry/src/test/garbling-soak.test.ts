/**
Guards what bytes from outside must not break: that the host lives and answers each request, that a request which may run once runs once, that "not run" is
true, and that whoever's own runs were sound gets its own whole answer. Endpoints spoil, cut off and lengthen responses, strangers send frames to the port
for peers, and the configuration takes names of object members.

`GARBLING_SOAK_SEED` and `GARBLING_SOAK_RUNS` play other courses.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {Packr} from 'msgpackr';
import {WebSocket} from 'ws';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {callHost, type CallerAnswer} from './lib/call-host.js';
import {createRandom} from './lib/create-random.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startRawEndpoint, type RawRequest} from './lib/start-raw-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const {GARBLING_SOAK_SEED = '71', GARBLING_SOAK_RUNS = '5'} = process.env;

const endpointCount = 4;
const callerCount = 12;
const callsOfCaller = 20;
const strangerCount = 20;
const eventCount = 5;

/** The part of the responses that endpoints spoil. It is far above what faulty endpoints do, and leaves most requests sound. */
const spoiledShare = 0.1;

/** The length of the status line of a sound response. */
const statusLineBytes = 'HTTP/1.1 200 OK'.length;

/** How long a caller waits, in ms: a response whose length was spoiled keeps its request open until then. */
const deadlineMs = 1500;

const kinds = ['once', 'repeatable', 'stream', 'live'] as const;

type Kind = typeof kinds[number];

const routes = kinds.map(name => makeRoute({
	name, kind: name === 'live' ? 'stream' : name, pathPrefix: `/${name}/`, isResumable: name === 'stream', maxAttempts: 3,
}));

/** Organisations that the configuration takes one after the other, by API key. */
const organisations = ['org', 'constructor', '__proto__', 'toString', 'Dvo\u0159\u00E1k'].map((name, index) =>
	[`key-${index}`, {name, limit: 1e9, priority: undefined}] as const);

type Call = {readonly id: string; readonly kind: Kind; readonly isHead: boolean; readonly answer: CallerAnswer};

/** What endpoints did for a request. */
type Runs = {count: number; spoiled: number};

const bodyOf = (id: string, kind: string): string => kind === 'stream' || kind === 'live'
	? Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: ${id}\n\n`).join('')
	: `answer to ${id}`;

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Writes a sound response in one of the forms that a response may have. */
const soundResponse = ({id, method, path, after}: RawRequest, random: () => number): string => {
	const kind = path.split('/')[1]!;
	const body = kind === 'stream' ? bodyOf(id, kind).split('\n\n').slice(after).join('\n\n') : bodyOf(id, kind);
	const head = `HTTP/1.1 200 OK\r\n${headerNames.requestId}: ${id}\r\n${headerNames.stamp}: e\r\n`;
	if (method === 'HEAD') {
		return `${head}Content-Length: ${body.length}\r\n\r\n`;
	}

	return random() < 0.5
		? `${head}Content-Length: ${body.length}\r\n\r\n${body}`
		: `${head}Transfer-Encoding: chunked\r\n\r\n${toChunk(body.slice(0, 9))}${toChunk(body.slice(9))}0\r\n\r\n`;
};

/** Changes up to three bytes of a response, in its status line or anywhere, or cuts it off, or writes more behind it. */
const spoil = (response: Uint8Array, random: () => number): {readonly bytes: Uint8Array; readonly ending: 'keep' | 'close' | 'reset'} => {
	const draw = random();
	if (draw < 0.2) {
		return {bytes: response.subarray(0, random() * response.length), ending: random() < 0.5 ? 'close' : 'reset'};
	}

	if (draw < 0.4) {
		return {bytes: Buffer.concat([response, random() < 0.5 ? response : Buffer.from([random() * 256, random() * 256])]), ending: 'keep'};
	}

	const bytes = Buffer.from(response);
	const changedBytes = draw < 0.7 ? statusLineBytes : bytes.length;
	const changes = 1 + Math.floor(random() * 3);
	for (let change = 0; change < changes; change++) {
		// Control characters come more often than other bytes.
		bytes[Math.floor(random() * changedBytes)] = Math.floor(random() * (random() < 0.5 ? 32 : 256));
	}

	return {bytes, ending: 'keep'};
};

const startEndpoints = async (random: () => number, runsOf: Map<string, Runs>) => {
	/** Connections on which something was spoiled: what belongs to a later request there may be lost with it. */
	const spoiledSockets = new WeakSet<Socket>();
	return Promise.all(Array.from({length: endpointCount}, async (_, index) => startRawEndpoint(`e${index}`, (req, socket) => {
		const runs = runsOf.get(req.id) ?? {count: 0, spoiled: 0};
		const isSpoiled = random() < spoiledShare;
		const response = Buffer.from(soundResponse(req, random), 'latin1');
		runsOf.set(req.id, {count: runs.count + 1, spoiled: runs.spoiled + (isSpoiled || spoiledSockets.has(socket) ? 1 : 0)});
		const {bytes, ending} = isSpoiled ? spoil(response, random) : {bytes: response, ending: 'keep'};
		if (isSpoiled) {
			spoiledSockets.add(socket);
		}

		const cutAt = Math.floor(random() * bytes.length);
		socket.write(bytes.subarray(0, cutAt));
		setImmediate(() => {
			socket.write(bytes.subarray(cutAt));
			if (ending === 'close') {
				socket.end();
			} else if (ending === 'reset') {
				socket.resetAndDestroy();
			}
		});
	})));
};

/** A stranger answers the first frame of the port for peers with what is nearly a proof, or with bytes of any kind. */
const visitAsStranger = async (address: string, random: () => number): Promise<void> => {
	const socket = new WebSocket(`ws://${address}`);
	socket.on('error', () => undefined);
	socket.once('message', () => {
		const sign = String.fromCodePoint(Math.floor(random() * 0x2_00));
		const nearlyProof = new Packr({useRecords: false}).pack({
			type: 'prove', version: 1, identity: {incarnation: sign, hall: '__proto__'}, nonce: sign.repeat(32), proof: sign.repeat(64),
		});
		socket.send(random() < 0.5 ? nearlyProof : Buffer.from(Array.from({length: 20}, () => random() * 256)));
	});
	await once(socket, 'close');
};

const play = async (t: ExecutionContext, seed: number): Promise<readonly Call[]> => {
	const random = createRandom(seed);
	const runsOf = new Map<string, Runs>();
	const peers = new Map<string, ListedPeer>();
	const endpoints = await startEndpoints(random, runsOf);
	const host = await startHost(createMemoryRightsStore(), {peers});
	await host.logged('peers_listed', ({count}) => count === 1);
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	host.entry.configure(makeConfig({routes, organisationsByKey: new Map(organisations.slice(0, 1))}));
	const calls: Call[] = [];
	const callers = Array.from({length: callerCount}, async (_, caller) => {
		for (let call = 0; call < callsOfCaller; call++) {
			// Each round of calls begins with a configuration that has one organisation more, until all are there.
			const known = organisations.slice(0, 1 + call);
			if (caller === 0 && call < organisations.length) {
				host.entry.configure(makeConfig({version: 2 + call, routes, organisationsByKey: new Map(known)}));
			}

			const kind = kinds[Math.floor(random() * kinds.length)]!;
			const id = `${seed}-${caller}-${call}`;
			const isHead = kind === 'repeatable' && random() < 0.2;
			// The newest organisation may not be known yet.
			const [key] = known[Math.floor(random() * Math.min(known.length, call))] ?? known[0]!;
			const headers = {
				[headerNames.requestId]: id, [headerNames.apiKey]: key, [headerNames.deadline]: String(deadlineMs), [headerNames.tokenCount]: '10,10',
			};
			const answer = await callHost(host.callers, {method: isHead ? 'HEAD' : 'POST', path: `/${kind}/${call}`, headers});
			calls.push({
				id, kind, isHead, answer,
			});
		}
	});
	const strangers = Array.from({length: strangerCount}, async () => visitAsStranger(peers.get('edge-1')!.address, random));
	await Promise.all([...callers, ...strangers]);
	for (const {id, kind, isHead, answer: {status, body, isWhole}} of calls) {
		const {count, spoiled} = runsOf.get(id) ?? {count: 0, spoiled: 0};
		const told = `${id} ${kind}: status ${status}, ${count} runs, ${spoiled} spoiled, whole ${isWhole}, body ${JSON.stringify(body.slice(0, 80))}`;
		t.true(status !== 0, `no answer: ${told}`);
		t.true(kind === 'repeatable' || kind === 'stream' || count <= 1, `ran twice: ${told}`);
		t.true((status !== 503 && status !== 429) || count === 0, `"not run" is not true: ${told}`);
		const isOwnWhole = status === 200 && isWhole && body === (isHead ? '' : bodyOf(id, kind));
		t.true(count === 0 || spoiled > 0 || isOwnWhole, `a sound answer is lost or another one: ${told}`);
	}

	await host.entry.kill();
	for (const endpoint of endpoints) {
		endpoint.close();
	}

	return calls;
};

for (let run = 0; run < Number(GARBLING_SOAK_RUNS); run++) {
	const seed = Number(GARBLING_SOAK_SEED) + run;
	test.serial(`bytes from outside end a host or touch the answers of others, seed ${seed}`, async t => {
		const calls = await play(t, seed);
		const served = calls.filter(({answer}) => answer.status === 200).length;
		t.true(served > calls.length / 2, `${served} of ${calls.length} served`);
	});
}
