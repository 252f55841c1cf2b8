/**
Guards against requests that stay in the load of an endpoint after their end. Other hosts are told that load, so the endpoint would get
less and less, until nothing is sent to it.
*/
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {EndpointLoad} from '@deckwheel/routing';
import test, {type ExecutionContext} from 'ava';
import {createLoadTracker} from '../lib/load-sharing/member/create-load-tracker.js';
import {createResponseWriter} from '../lib/relaying/create-response-writer.js';
import type {AttemptEnd} from '../lib/request/attempt-end.js';
import {createCallerWait} from '../lib/receiving/create-caller-wait.js';
import {createHeldBytes} from '../lib/held-bytes/create-held-bytes.js';
import type {HostContext} from '../lib/request/host-context.js';
import {runAttempt} from '../lib/request/run-attempt.js';
import {createConnectionPool} from '../lib/sending/create-connection-pool.js';
import {createDirectConnector} from './lib/create-direct-connector.js';
import {headerNames} from './lib/header-names.js';
import {callHost} from './lib/call-host.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeRoute} from './lib/start-host.js';

const now = (): number => performance.now();
const uncachedTokens = 700;

type Case = {
	readonly answer: Answer;
	/** Calls the host, with a function that ends the request at the host as its deadline would, and one that returns the load of the endpoint. */
	readonly call?: (address: string, abort: () => void, load: () => EndpointLoad) => Promise<unknown>;
	readonly hasEndpoint?: boolean;
};

const callAndRead: Case['call'] = async address => callHost(address);

/** Makes one attempt at an endpoint, and returns its end and what counted as open there while the endpoint responded and after the end. */
const loadDuringAttempt = async (t: ExecutionContext, {answer, call = callAndRead, hasEndpoint = true}: Case) => {
	let samples = 0;
	const loads = createLoadTracker({
		onSample() {
			samples++;
		},
		now,
	});
	const during: EndpointLoad[] = [];
	const endpoint = await startEndpoint('e', (req, res) => {
		during.push(loads.loadOf('e'));
		answer(req, res);
	});
	if (!hasEndpoint) {
		endpoint.close();
	}

	const controller = new AbortController();
	let resolveEnd: (end: AttemptEnd) => void;
	const ended = new Promise<AttemptEnd>(resolve => {
		resolveEnd = resolve;
	});
	const host: Partial<HostContext> = {
		loads,
		pool: createConnectionPool(now, createDirectConnector(60_000)),
		headerNames,
		isCallerSeen: () => true,
		now,
		log: () => undefined,
		heldBytes: createHeldBytes(1_000_000, {increment: () => undefined, recordMax: () => undefined}),
		countUnsent: () => undefined,
		limits: {noteResponse: () => undefined, isLimited: () => false, acquire: async () => ({isGranted: true})},
		brittleEndpoints: {noteResponse: () => undefined},
		paths: {noteAttempt: () => () => undefined, noteHeard: () => undefined},
		halls: {
			list: () => undefined, isUnreachable: () => false, noteAttempt: () => () => undefined, noteHeard: () => undefined, noteConnectFailure: () => undefined, close: () => undefined,
		},
	};
	const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const end = await runAttempt({
			request: {
				id: String(req.headers[headerNames.requestId]),
				req,
				res,
				body: new Uint8Array(),
				admitted: {
					route: makeRoute({kind: 'stream'}), organisation: undefined, prompt: undefined, deadline: now() + 60_000,
				},
				receivedAt: now(),
				subjects: {fingerprint: () => '', parts: []},
				plan: {type: 'any', service: 's'},
				reserveRun: async () => true,
			},
			endpoint: endpoint.listed,
			uncachedTokens,
			writer: createResponseWriter(res, false, () => false),
			isWanted: () => true,
			onSent: () => undefined,
			onEvents: () => undefined,
			onBodyBegun: () => undefined,
			callerWait: createCallerWait(() => 0),
			originTold: Promise.resolve(),
			lastEventId: undefined,
			mayMove: false,
			signal: controller.signal,
		}, host as HostContext);
		res.end();
		resolveEnd(end);
	};

	const server = createServer((req, res) => {
		void serve(req, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
		endpoint.close();
	});
	void call(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => {
		controller.abort();
	}, () => loads.loadOf('e'));
	const end = await ended;
	return {
		end, during, after: loads.loadOf('e'), samples,
	};
};

const idle = {open: 0, pendingPromptTokens: 0};
const event = 'id: 1\ndata: piece\n\n';

const streamHead = (res: ServerResponse): void => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
};

const never: Answer = () => undefined;

const cases: ReadonlyArray<Case & {readonly name: string; readonly end: AttemptEnd['type']; readonly samples?: number}> = [
	{
		name: 'a whole stream',
		end: 'streamed',
		answer(_req, res) {
			streamHead(res);
			res.end(event);
		},
	},
	{
		name: 'a stream that breaks off',
		end: 'lost',
		answer(_req, res) {
			streamHead(res);
			res.write(`${event}id: 2`, () => {
				res.destroy();
			});
		},
	},
	{
		name: 'a response of another kind',
		end: 'whole',
		answer(_req, res) {
			res.writeHead(404);
			res.end();
		},
	},
	{
		name: 'a stream without events',
		end: 'streamed',
		samples: 1,
		answer(_req, res) {
			streamHead(res);
			res.end();
		},
	},
	{
		name: 'a response that breaks off',
		end: 'lost',
		answer(_req, res) {
			res.writeHead(404, {'content-length': '100'});
			res.write('part', () => {
				res.destroy();
			});
		},
	},
	{
		name: 'an error of the endpoint',
		end: 'server_error',
		answer(_req, res) {
			res.writeHead(500);
			res.end();
		},
	},
	{
		name: 'a response without the stamp of the endpoint',
		end: 'lost',
		answer(_req, res) {
			res.removeHeader(headerNames.stamp);
			res.end();
		},
	},
	{
		name: 'a request that the endpoint did not run',
		end: 'not_run',
		answer(_req, res) {
			res.writeHead(503, {[headerNames.notRun]: '1'});
			res.end();
		},
	},
	{
		name: 'a request that reached another endpoint',
		end: 'misdirected',
		answer(_req, res) {
			res.writeHead(421);
			res.end();
		},
	},
	{
		name: 'a connection that closes',
		end: 'lost',
		answer(req) {
			req.socket.destroy();
		},
	},
	{
		name: 'an endpoint that takes no connection', end: 'unsent', answer: never, hasEndpoint: false,
	},
	{
		name: 'a caller that leaves in the middle of a stream',
		end: 'lost',
		answer(_req, res) {
			streamHead(res);
			res.write(event);
		},
		async call(address) {
			const response = await fetch(`http://${address}/`, {headers: {[headerNames.requestId]: 'q1'}});
			await response.body!.cancel();
		},
	},
];

for (const {name, end: expected, samples: expectedSamples = 0, ...options} of cases) {
	test(`nothing stays open at an endpoint after ${name}`, async t => {
		const {end, during, after, samples} = await loadDuringAttempt(t, options);
		t.is(end.type, expected);
		for (const load of during) {
			t.like(load, {open: 1, pendingPromptTokens: uncachedTokens});
		}

		t.is(during.length, options.hasEndpoint === false ? 0 : 1);
		t.like(after, idle);
		// An error that comes soon must not make the endpoint look fast.
		t.is(samples, expectedSamples);
	});
}

test('nothing stays open at an endpoint that gave no response until the deadline', async t => {
	let abortRequest: () => void;
	const {end, during, after} = await loadDuringAttempt(t, {
		answer() {
			abortRequest();
		},
		async call(address, abort) {
			abortRequest = abort;
			return callHost(address);
		},
	});
	t.is(end.type, 'lost');
	t.is(during.length, 1);
	t.like(after, idle);
});

test('the prompt of a stream counts as prefilled from its first whole event on', async t => {
	let endStream: () => void;
	let afterFirstEvent: EndpointLoad | undefined;
	const {after} = await loadDuringAttempt(t, {
		answer(_req, res) {
			streamHead(res);
			res.write(event);
			endStream = () => {
				res.end(event);
			};
		},
		async call(address, _abort, load) {
			const response = await fetch(`http://${address}/`, {headers: {[headerNames.requestId]: 'q1'}});
			await response.body!.getReader().read();
			afterFirstEvent = load();
			endStream();
		},
	});
	t.like(afterFirstEvent, {open: 1, pendingPromptTokens: 0});
	t.like(after, idle);
});
