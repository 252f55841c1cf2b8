import {connect} from 'node:net';
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const started: Array<{kill: () => Promise<void>}> = [];

test.after.always(async () => {
	await Promise.all(started.map(async ({kill}) => kill()));
});

const launch = async (...options: Parameters<typeof startHost>) => {
	const host = await startHost(...options);
	started.push(host.entry);
	return host;
};

const launchEndpoint = async (id: string, answer: Answer) => {
	const endpoint = await startEndpoint(id, answer);
	started.push({
		async kill() {
			endpoint.close();
		},
	});
	return endpoint;
};

const succeed: Answer = (_req, res) => {
	res.end('fine');
};

const refuseToRun: Answer = (_req, res) => {
	res.writeHead(503, {[headerNames.notRun]: '1'});
	res.end();
};

const closeConnection: Answer = req => {
	req.socket.destroy();
};

const respondWithError: Answer = (_req, res) => {
	res.writeHead(500);
	res.end('broken');
};

const writeEvents = (...ids: readonly number[]): string => ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('');

const stream = (...ids: readonly number[]): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.end(writeEvents(...ids));
};

const breakOffAfter = (...ids: readonly number[]): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	// Sends a part of one more event, then cuts the response off.
	res.write(`${writeEvents(...ids)}id: 99\nda`, () => {
		res.destroy();
	});
};

const serve = async (config = makeConfig(), ...answers: readonly Answer[]) => {
	const store = createMemoryRightsStore();
	const host = await launch(store);
	const endpoints = await Promise.all(answers.map(async (answer, index) => launchEndpoint(`e${index}`, answer)));
	host.entry.configure(config);
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	return {
		...host, endpoints, store, runs: () => endpoints.reduce((sum, {seen}) => sum + seen.length, 0),
	};
};

const usedTokensOf = (events: ReadonlyArray<{event: string; fields: Readonly<Record<string, unknown>>}>) =>
	events.filter(({event}) => event.startsWith('request_')).map(({fields}) => fields.used);

const promptHeaders = {[headerNames.tokenCount]: '100,20', [headerNames.prefix]: 'a:60,b:40'};

test('an endpoint gets the request as the caller sent it, without the API key and with the headers that the host adds', async t => {
	const {callers, endpoints} = await serve(makeConfig(), succeed);
	const response = await callHost(callers, {
		path: '/p/q?x=1', body: 'hello', headers: {
			[headerNames.organisation]: 'forged', [headerNames.expectedEndpoint]: 'forged', 'x-reserved': '1', 'x-own': 'kept', connection: 'x-hop', 'x-hop': '1', [headerNames.deadline]: '5000',
		},
	});
	const [seen] = endpoints[0]!.seen;
	t.is(response.body, 'fine');
	t.is(response.headers[headerNames.stamp], 'e0');
	t.is(seen!.path, '/p/q?x=1');
	t.is(seen!.body, 'hello');
	t.is(seen!.headers[headerNames.organisation], 'org');
	t.is(seen!.headers[headerNames.expectedEndpoint], 'e0');
	t.is(seen!.headers['x-own'], 'kept');
	t.is(seen!.headers[headerNames.apiKey], undefined);
	t.is(seen!.headers['x-reserved'], undefined);
	t.is(seen!.headers['x-hop'], undefined);
	t.true(Number(seen!.headers[headerNames.deadline]) <= 5000);
});

test('a host without a configuration refuses a request and says when to retry', async t => {
	const {callers} = await launch(createMemoryRightsStore());
	const response = await callHost(callers);
	t.is(response.status, 503);
	t.truthy(response.headers['retry-after']);
});

test('an unknown route gets 404, an unknown API key 401, and a body that is too long 413', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({pathPrefix: '/p/'})]}), succeed);
	const noRoute = await callHost(callers, {path: '/other/'});
	const noKey = await callHost(callers, {path: '/p/', headers: {[headerNames.apiKey]: 'wrong'}});
	const tooLong = await callHost(callers, {path: '/p/', body: 'x'.repeat(1001)});
	t.deepEqual([noRoute.status, noKey.status, tooLong.status, runs()], [404, 401, 413, 0]);
});

test('the route with the longest matching prefix serves a request', async t => {
	const longer = makeRoute({name: 'long', pathPrefix: '/p/long/', services: [{service: 'none', weight: 1}]});
	const {callers} = await serve(makeConfig({routes: [makeRoute({pathPrefix: '/p/'}), longer]}), succeed);
	const short = await callHost(callers, {path: '/p/x'});
	const long = await callHost(callers, {path: '/p/long/x'});
	t.deepEqual([short.status, long.status], [200, 503]);
});

test('a request that an endpoint did not run is sent to another endpoint, even if it may run only once', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), refuseToRun, refuseToRun, succeed);
	const responses = await Promise.all([callHost(callers), callHost(callers), callHost(callers)]);
	t.true(responses.every(({status, headers}) => status === 200 || (status === 503 && headers['retry-after'] !== undefined)));
	t.true(runs() >= 3);
});

test('a request that may run only once is not retried after a lost response, and its refusal leaves open whether it ran', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), closeConnection, closeConnection);
	const response = await callHost(callers);
	t.is(response.status, 502);
	t.is(runs(), 1);
});

test('a repeatable request is retried after a lost response and after an error response', async t => {
	const lost = await serve(makeConfig(), closeConnection, closeConnection);
	await callHost(lost.callers);
	t.is(lost.runs(), 2);
	const failed = await serve(makeConfig(), respondWithError, respondWithError);
	const response = await callHost(failed.callers);
	t.is(failed.runs(), 2);
	t.is(response.status, 500);
	t.is(response.body, 'broken');
	t.truthy(response.headers[headerNames.stamp]);
});

test('no request is sent to more endpoints than its route allows', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({maxAttempts: 1})]}), closeConnection, closeConnection);
	await callHost(callers);
	t.is(runs(), 1);
});

test('a successful response without the stamp of the endpoint is not passed on', async t => {
	const {callers} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), (_req, res) => {
		res.removeHeader(headerNames.stamp);
		res.end('whose?');
	});
	const response = await callHost(callers);
	t.is(response.status, 502);
});

test('a stream is relayed whole, and charged the tokens of its prompt and its events', async t => {
	const {callers, events, logged} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 10_000), stream(1, 2, 3));
	const response = await callHost(callers, {headers: promptHeaders});
	await logged('request_answered');
	t.is(response.body, writeEvents(1, 2, 3));
	t.true(response.isWhole);
	// 100 tokens of the prompt, and three events of at most two tokens each.
	t.deepEqual(usedTokensOf(events), [106]);
});

test('a broken stream that can be resumed continues at another endpoint, with whole events only', async t => {
	const second: Answer = (req, res) => {
		stream(...(req.headers['last-event-id'] === '2' ? [3, 4] : [1, 2, 3, 4]))(req, res);
	};

	const first: Answer = (req, res) => {
		(req.headers['last-event-id'] === undefined ? breakOffAfter(1, 2) : second)(req, res);
	};

	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true})]}, 10_000), first, first);
	const response = await callHost(callers, {headers: promptHeaders});
	t.is(response.body, writeEvents(1, 2, 3, 4));
	t.true(response.isWhole);
	t.is(runs(), 2);
});

test('a broken stream that cannot be resumed does not look whole, and is charged its whole reservation', async t => {
	const {callers, events, logged, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 10_000), breakOffAfter(1, 2), breakOffAfter(1, 2));
	const response = await callHost(callers, {headers: promptHeaders});
	await logged('request_refused');
	t.is(response.body, writeEvents(1, 2));
	t.false(response.isWhole);
	t.is(runs(), 1);
	t.deepEqual(usedTokensOf(events), [120]);
});

test('a request that was sent gets 504 when its deadline passes', async t => {
	let reachDeadline: () => void = () => undefined;
	const host = await launch(createMemoryRightsStore(), {
		schedule(_delayMs, callback) {
			reachDeadline = callback;
			return () => undefined;
		},
	});
	const endpoint = await launchEndpoint('e', () => {
		reachDeadline();
	});
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([endpoint.listed]);
	const response = await callHost(host.callers);
	t.is(response.status, 504);
});

test('a request whose caller leaves is aborted at the endpoint', async t => {
	let begin: () => void = () => undefined;
	let leave: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const left = new Promise<void>(resolve => {
		leave = resolve;
	});
	const {callers} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), (_req, res) => {
		res.once('close', leave);
		begin();
	});
	const abort = new AbortController();
	const call = callHost(callers, {signal: abort.signal});
	await begun;
	abort.abort();
	await left;
	const response = await call;
	t.is(response.status, 0);
});

test('near the end of a budget, a large request is refused with budget_kept, and more urgent and small requests are served', async t => {
	const endpoint = await launchEndpoint('e1', succeed);
	const host = await launch(createMemoryRightsStore());
	const urgent = makeRoute({name: 'urgent', pathPrefix: '/urgent/', priority: 0});
	const other = makeRoute({name: 'other', pathPrefix: '/other/', priority: 1});
	host.entry.configure(makeConfig({routes: [urgent, other]}, 2000));
	host.entry.listEndpoints([endpoint.listed]);
	const call = async (path: string, size: number) => callHost(host.callers, {path, headers: {[headerNames.tokenCount]: `${size},0`, [headerNames.prefix]: `p:${size}`}});
	const urgentOne = await call('/urgent/', 500);
	t.is(urgentOne.status, 200);
	const kept = await call('/other/', 1000);
	t.is(kept.status, 429);
	t.regex(kept.body, /budget_kept/);
	t.true(Number(kept.headers['retry-after']) > 0);
	const smallOne = await call('/other/', 100);
	t.is(smallOne.status, 200, 'a small request is served');
	const largeUrgentOne = await call('/urgent/', 1000);
	t.is(largeUrgentOne.status, 200);
	t.is(endpoint.seen.length, 3);
});

test('a request that its budget cannot hold is refused before it reaches an endpoint', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 119), stream(1));
	const response = await callHost(callers, {headers: promptHeaders});
	t.is(response.status, 402);
	t.is(runs(), 0);
});

test('requests are served from the rights that the host holds, even while the store is unavailable, and never beyond the limit', async t => {
	const {callers, runs, store} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 1000), stream(1));
	await callHost(callers, {headers: promptHeaders});
	store.faults.isDown = true;
	const responses = [];
	for (let i = 0; i < 12; i++) {
		responses.push(await callHost(callers, {headers: promptHeaders}));
	}

	t.true(responses.every(({status}) => status === 200 || status === 429));
	t.true(responses.some(({status}) => status === 429));
	// Each run costs 102 tokens, and the limit of the organisation is 1000.
	t.true(runs() <= 9);
});

test('rights are not spent twice when the reply to their draw is lost', async t => {
	const {callers, runs, store} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 500), stream(1));
	store.faults.losesNextReply = true;
	for (let i = 0; i < 10; i++) {
		await callHost(callers, {headers: promptHeaders});
	}

	t.true(runs() <= 4);
	const [stored] = [...store.objects.values()];
	const granted = Object.values(stored!.rights.budgets.org!.holders).reduce((sum, holder) => sum + holder.granted, 0);
	t.true(granted <= 500);
});

test('a host that cannot reach the store borrows rights from a peer', async t => {
	const store = createMemoryRightsStore();
	const peers = new Map();
	const config = makeConfig({routes: [makeRoute({kind: 'stream'})]}, 2000);
	const endpoint = await launchEndpoint('e', stream(1));
	const lender = await launch(store, {host: 'edge-1', peers});
	await lender.logged('peers_listed');
	lender.entry.configure(config);
	lender.entry.listEndpoints([endpoint.listed]);
	const first = await callHost(lender.callers, {headers: promptHeaders});
	const borrower = await launch(store, {host: 'edge-2', peers});
	await borrower.logged('peers_listed');
	borrower.entry.configure(config);
	borrower.entry.listEndpoints([endpoint.listed]);
	const second = await callHost(borrower.callers, {headers: promptHeaders});
	store.faults.isDown = true;
	const responses = [];
	for (let i = 0; i < 10; i++) {
		responses.push(await callHost(borrower.callers, {headers: promptHeaders}));
	}

	t.deepEqual([first.status, second.status], [200, 200]);
	t.true(borrower.events.some(({event}) => event === 'rights_borrowed'));
	t.true(endpoint.seen.length * 102 <= 2000);
});

test('a shutdown finishes requests in flight and gives unspent rights back', async t => {
	let finish: () => void = () => undefined;
	let begun: () => void = () => undefined;
	const hasBegun = new Promise<void>(resolve => {
		begun = resolve;
	});
	const {callers, entry, store} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 1000), (req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write(writeEvents(1));
		finish = () => {
			res.end(writeEvents(2));
		};

		begun();
	});
	const call = callHost(callers, {headers: promptHeaders});
	await hasBegun;
	const stopped = entry.stop();
	finish();
	const response = await call;
	await stopped;
	t.is(response.body, writeEvents(1, 2));
	t.true(response.isWhole);
	const [stored] = [...store.objects.values()];
	const [holder] = Object.values(stored!.rights.budgets.org!.holders);
	t.is(holder!.granted, 104);
});

// Guards against a request that is cut off by the end of the process: a stream ended 7 s after the signal to stop, its caller sent the next
// request on the same connection, and the process ended 0.1 s after it had forwarded that request.
test('a stopping host closes a connection after the response in flight', async t => {
	let finish: () => void = () => undefined;
	let begun: () => void = () => undefined;
	// By then the caller has the head of the response, which has no `Connection: close`.
	const hasBegun = new Promise<void>(resolve => {
		begun = resolve;
	});
	const {callers, entry, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}), (req, res) => {
		if (req.headers[headerNames.requestId] === 'next') {
			res.end();
			return;
		}

		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write(writeEvents(1));
		finish = () => {
			res.end(writeEvents(2));
		};
	});
	const [host, port] = callers.split(':');
	const socket = connect(Number(port), host);
	const send = (id: string): void => {
		socket.write(`GET /p HTTP/1.1\r\nhost: fleet\r\n${headerNames.requestId}: ${id}\r\n${headerNames.apiKey}: key\r\n\r\n`);
	};

	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		text += new TextDecoder().decode(bytes);
		if (text.includes('piece 1')) {
			begun();
		}

		if (text.endsWith('0\r\n\r\n')) {
			send('next');
		}
	});
	send('first');
	await hasBegun;
	const stopped = entry.stop();
	finish();
	await closed;
	t.false(text.toLowerCase().includes('connection: close'));
	t.true(text.includes('piece 2'));
	t.is(runs(), 1);
	await stopped;
});

const answerAsAnother: Answer = (_req, res) => {
	res.writeHead(421);
	res.end();
};

// The list may be some seconds old when endpoints end; a request with a single attempt was refused although another endpoint was free.
for (const [kind, isOfStream] of [['once', false], ['stream', true]] as const) {
	test(`a request with a single attempt is refused because the first endpoint has ended: ${kind}`, async t => {
		const route = makeRoute({kind, maxAttempts: 1});
		const {callers, endpoints, events} = await serve(makeConfig({routes: [route]}), answerAsAnother, isOfStream ? stream(1, 2) : succeed);
		const {status, isWhole} = await callHost(callers);
		t.is(status, 200);
		t.true(isWhole);
		t.is(endpoints[1]!.seen.length, 1);
		const {fields} = events.find(({event}) => event === 'request_answered')!;
		t.is(endpoints[0]!.seen.length, 1);
		t.is(fields.misdirected, 1);
		t.is(fields.arrivals, 1);
	});
}

test('a request is sent to each of many endpoints that have ended, or counts as run', async t => {
	const {callers, runs, events} = await serve(makeConfig({routes: [makeRoute({kind: 'once', maxAttempts: 1})]}), ...Array.from({length: 6}, () => answerAsAnother));
	const {status, headers} = await callHost(callers);
	t.is(status, 503);
	t.true(Number(headers['retry-after']) > 0);
	t.true(runs() <= 4);
	t.deepEqual(usedTokensOf(events), [0]);
});

test('an endpoint whose address another process has gets a second request', async t => {
	const {callers, endpoints, events} = await serve(makeConfig({routes: [makeRoute({kind: 'once', maxAttempts: 1})]}), answerAsAnother, succeed);
	await callHost(callers);
	await callHost(callers);
	t.is(endpoints[0]!.seen.length, 1);
	t.is(endpoints[1]!.seen.length, 2);
	t.deepEqual(events.filter(({event}) => event === 'endpoint_ended').map(({fields}) => fields), [{endpoint: endpoints[0]!.listed.id, how: 'misdirected'}]);
});
