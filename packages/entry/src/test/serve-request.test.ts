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

const ok: Answer = (_req, res) => {
	res.end('fine');
};

const refuseToRun: Answer = (_req, res) => {
	res.writeHead(503, {[headerNames.notRun]: '1'});
	res.end();
};

const hangUp: Answer = req => {
	req.socket.destroy();
};

const fail: Answer = (_req, res) => {
	res.writeHead(500);
	res.end('broken');
};

const writeEvents = (...ids: readonly number[]): string => ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('');

const stream = (...ids: readonly number[]): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.end(writeEvents(...ids));
};

const breakAfter = (...ids: readonly number[]): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	// A part of one more event, then a break.
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

const spentOf = (events: ReadonlyArray<{event: string; fields: Readonly<Record<string, unknown>>}>) =>
	events.filter(({event}) => event.startsWith('request_')).map(({fields}) => fields.used);

const tokens = {[headerNames.tokenCount]: '100,20', [headerNames.prefix]: 'a:60,b:40'};

test('an endpoint gets the request as the caller sent it, without the key and with what the host adds', async t => {
	const {callers, endpoints} = await serve(makeConfig(), ok);
	const answer = await callHost(callers, {
		path: '/p/q?x=1', body: 'hello', headers: {
			[headerNames.organisation]: 'forged', [headerNames.expectedEndpoint]: 'forged', 'x-reserved': '1', 'x-own': 'kept', connection: 'x-hop', 'x-hop': '1', [headerNames.deadline]: '5000',
		},
	});
	const [seen] = endpoints[0]!.seen;
	t.is(answer.body, 'fine');
	t.is(answer.headers[headerNames.stamp], 'e0');
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

test('without a configuration a host says that nothing ran, and when to come back', async t => {
	const {callers} = await launch(createMemoryRightsStore());
	const answer = await callHost(callers);
	t.is(answer.status, 503);
	t.truthy(answer.headers['retry-after']);
});

test('an unknown route is 404, an unknown key 401, an overlong body 413', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({pathPrefix: '/p/'})]}), ok);
	const noRoute = await callHost(callers, {path: '/other/'});
	const noKey = await callHost(callers, {path: '/p/', headers: {[headerNames.apiKey]: 'wrong'}});
	const tooLong = await callHost(callers, {path: '/p/', body: 'x'.repeat(1001)});
	t.deepEqual([noRoute.status, noKey.status, tooLong.status, runs()], [404, 401, 413, 0]);
});

test('the longest prefix wins', async t => {
	const longer = makeRoute({name: 'long', pathPrefix: '/p/long/', services: [{service: 'none', weight: 1}]});
	const {callers} = await serve(makeConfig({routes: [makeRoute({pathPrefix: '/p/'}), longer]}), ok);
	const short = await callHost(callers, {path: '/p/x'});
	const long = await callHost(callers, {path: '/p/long/x'});
	t.deepEqual([short.status, long.status], [200, 503]);
});

test('a request that an endpoint did not run goes to another, also if it may run once only', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), refuseToRun, refuseToRun, ok);
	const answers = await Promise.all([callHost(callers), callHost(callers), callHost(callers)]);
	t.true(answers.every(({status, headers}) => status === 200 || (status === 503 && headers['retry-after'] !== undefined)));
	t.true(runs() >= 3);
});

test('a request that may run once only is not sent again after a lost answer, and no promise is made', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), hangUp, hangUp);
	const answer = await callHost(callers);
	t.is(answer.status, 502);
	t.is(runs(), 1);
});

test('a repeatable request is sent again after a lost answer and after a failure', async t => {
	const lost = await serve(makeConfig(), hangUp, hangUp);
	await callHost(lost.callers);
	t.is(lost.runs(), 2);
	const failed = await serve(makeConfig(), fail, fail);
	const answer = await callHost(failed.callers);
	t.is(failed.runs(), 2);
	t.is(answer.status, 500);
	t.is(answer.body, 'broken');
	t.truthy(answer.headers[headerNames.stamp]);
});

test('no request goes to more endpoints than its route allows', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({maxAttempts: 1})]}), hangUp, hangUp);
	await callHost(callers);
	t.is(runs(), 1);
});

test('a success without a stamp is none', async t => {
	const {callers} = await serve(makeConfig({routes: [makeRoute({kind: 'once'})]}), (_req, res) => {
		res.removeHeader(headerNames.stamp);
		res.end('whose?');
	});
	const answer = await callHost(callers);
	t.is(answer.status, 502);
});

test('a stream is relayed whole, and its tokens are what is spent', async t => {
	const {callers, events, logged} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 10_000), stream(1, 2, 3));
	const answer = await callHost(callers, {headers: tokens});
	await logged('request_answered');
	t.is(answer.body, writeEvents(1, 2, 3));
	t.true(answer.isWhole);
	// 100 in, and three events of at most two tokens.
	t.deepEqual(spentOf(events), [106]);
});

test('a broken stream that may be taken up goes on elsewhere, with whole events only', async t => {
	const second: Answer = (req, res) => {
		stream(...(req.headers['last-event-id'] === '2' ? [3, 4] : [1, 2, 3, 4]))(req, res);
	};

	const first: Answer = (req, res) => {
		(req.headers['last-event-id'] === undefined ? breakAfter(1, 2) : second)(req, res);
	};

	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true})]}, 10_000), first, first);
	const answer = await callHost(callers, {headers: tokens});
	t.is(answer.body, writeEvents(1, 2, 3, 4));
	t.true(answer.isWhole);
	t.is(runs(), 2);
});

test('a broken stream that may not be taken up does not look whole, and is charged at its most', async t => {
	const {callers, events, logged, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 10_000), breakAfter(1, 2), breakAfter(1, 2));
	const answer = await callHost(callers, {headers: tokens});
	await logged('request_refused');
	t.is(answer.body, writeEvents(1, 2));
	t.false(answer.isWhole);
	t.is(runs(), 1);
	t.deepEqual(spentOf(events), [120]);
});

test('a request whose time is over gets its final answer then: 504 if it was sent', async t => {
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
	const answer = await callHost(host.callers);
	t.is(answer.status, 504);
});

test('a caller that leaves takes its request with it', async t => {
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
	const answer = await call;
	t.is(answer.status, 0);
});

test('near the end of a budget, a large request is told that what is left is kept for more urgent ones, and they are served', async t => {
	const endpoint = await launchEndpoint('e1', ok);
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
	t.is(smallOne.status, 200, 'a small one takes its turn');
	const largeUrgentOne = await call('/urgent/', 1000);
	t.is(largeUrgentOne.status, 200);
	t.is(endpoint.seen.length, 3);
});

test('a budget that cannot hold a request refuses it before any endpoint sees it', async t => {
	const {callers, runs} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 119), stream(1));
	const answer = await callHost(callers, {headers: tokens});
	t.is(answer.status, 402);
	t.is(runs(), 0);
});

test('requests are served from rights held, also while the store is away, and never beyond the limit', async t => {
	const {callers, runs, store} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 1000), stream(1));
	await callHost(callers, {headers: tokens});
	store.faults.isDown = true;
	const answers = [];
	for (let i = 0; i < 12; i++) {
		answers.push(await callHost(callers, {headers: tokens}));
	}

	t.true(answers.every(({status}) => status === 200 || status === 429));
	t.true(answers.some(({status}) => status === 429));
	// Each run costs 102 tokens, and 1000 were paid for.
	t.true(runs() <= 9);
});

test('a draw whose answer was lost is not spent twice', async t => {
	const {callers, runs, store} = await serve(makeConfig({routes: [makeRoute({kind: 'stream'})]}, 500), stream(1));
	store.faults.losesNextAnswer = true;
	for (let i = 0; i < 10; i++) {
		await callHost(callers, {headers: tokens});
	}

	t.true(runs() <= 4);
	const [stored] = [...store.objects.values()];
	const granted = Object.values(stored!.rights.budgets.org!.holders).reduce((sum, holder) => sum + holder.granted, 0);
	t.true(granted <= 500);
});

test('a host without the store borrows from a peer', async t => {
	const store = createMemoryRightsStore();
	const peers = new Map();
	const config = makeConfig({routes: [makeRoute({kind: 'stream'})]}, 2000);
	const endpoint = await launchEndpoint('e', stream(1));
	const lender = await launch(store, {host: 'edge-1', peers});
	await lender.logged('peers_listed');
	lender.entry.configure(config);
	lender.entry.listEndpoints([endpoint.listed]);
	const first = await callHost(lender.callers, {headers: tokens});
	const borrower = await launch(store, {host: 'edge-2', peers});
	await borrower.logged('peers_listed');
	borrower.entry.configure(config);
	borrower.entry.listEndpoints([endpoint.listed]);
	const second = await callHost(borrower.callers, {headers: tokens});
	store.faults.isDown = true;
	const answers = [];
	for (let i = 0; i < 10; i++) {
		answers.push(await callHost(borrower.callers, {headers: tokens}));
	}

	t.deepEqual([first.status, second.status], [200, 200]);
	t.true(borrower.events.some(({event}) => event === 'rights_borrowed'));
	t.true(endpoint.seen.length * 102 <= 2000);
});

test('a planned stop finishes what runs and gives rights back', async t => {
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
	const call = callHost(callers, {headers: tokens});
	await hasBegun;
	const stopped = entry.stop();
	finish();
	const answer = await call;
	await stopped;
	t.is(answer.body, writeEvents(1, 2));
	t.true(answer.isWhole);
	const [stored] = [...store.objects.values()];
	const [holder] = Object.values(stored!.rights.budgets.org!.holders);
	t.is(holder!.granted, 104);
});

// On a played day a stream ended 7 s after the signal to stop. Its caller sent the next request on the same connection, and the
// process ended 0.1 s after it had sent that on.
test('a stopping host closes a connection after the answer that was under way', async t => {
	let finish: () => void = () => undefined;
	let begun: () => void = () => undefined;
	// The caller has the head of the answer, which says nothing of a stop.
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
