/**
Guards against a host that forwards a request during its shutdown which it can't finish before its process exits.

All hosts of a hall were stopped in turn. On one of them a request came 0.1 s after the last open request had ended, which was 4.04 s after
the signal to stop. The host forwarded it to an endpoint, and 12 ms later the exit of the process cut it.

By its timing, the request came on a connection that was open already: it took 6 ms from its caller to the endpoint, where requests on new
connections took 10 ms or more, and those on kept connections 4 to 5 ms. A closed listener doesn't keep such a request out. Which of the ways
below it took is not proven.

The cause: a shutdown closed the listener, then idle connections, then connections after their responses, and nothing decided about the
request itself. That left open a first request that is sent late on an accepted connection, a request whose body or rights come late, and
an attempt at another endpoint.
*/
import process from 'node:process';
import test from 'ava';
import type {RightsStore} from '../adapter/rights-store.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {callHost} from './lib/call-host.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** Well after the linger and well before the end of the shutdown, in ms after the signal to stop. */
const lateMs = 10_000;

/** Right after the host begins to return its last rights, in ms after the signal to stop. */
const returnRightsMs = 19_001;

/** Right after open requests are cut and before the end of the shutdown, in ms after the signal to stop. */
const cutMs = 19_601;

const started: Array<{kill: () => Promise<void>}> = [];

test.after.always(async () => {
	await Promise.all(started.map(async ({kill}) => kill()));
});

const ok: Answer = (_req, res) => {
	res.end('fine');
};

const closeConnection: Answer = req => {
	req.socket.destroy();
};

const refuseToRun: Answer = (_req, res) => {
	res.writeHead(503, {[headerNames.notRun]: '1'});
	res.end();
};

const fail: Answer = (_req, res) => {
	res.writeHead(500);
	res.end('broken');
};

/** A gate at which an endpoint or the store waits until the test opens it. `begun` resolves once something waits at it. */
const createGate = () => {
	let begin: () => void = () => undefined;
	let open: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const opened = new Promise<void>(resolve => {
		open = resolve;
	});
	return {
		begun,
		open,
		async pass() {
			begin();
			await opened;
		},
	};
};

/** Responds by `answer` once the gate is open. */
const afterGate = ({pass}: ReturnType<typeof createGate>, answer: Answer): Answer => async (req, res) => {
	await pass();
	answer(req, res);
};

/** Starts a host with one endpoint for each of `answers`, and with a clock that the test advances. */
const startHostWithEndpoints = async (answers: readonly Answer[], {config = makeConfig(), store = createMemoryRightsStore()}: {config?: ReturnType<typeof makeConfig>; store?: RightsStore} = {}) => {
	const clock = createManualClock();
	const host = await startHost(store, {schedule: clock.schedule, now: clock.now});
	started.push(host.entry);
	const endpoints = await Promise.all(answers.map(async (answer, index) => startEndpoint(`e${index}`, answer)));
	for (const endpoint of endpoints) {
		started.push({
			async kill() {
				endpoint.close();
			},
		});
	}

	host.entry.configure(config);
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	return {
		...host, clock, seen: () => endpoints.flatMap(({seen}) => seen.map(({id}) => id)),
	};
};

/** Holds the response to the request with the id `open` until the gate is open, and responds to others at once. */
const holdOpen = (gate: ReturnType<typeof createGate>): Answer => (req, res) => {
	(req.headers[headerNames.requestId] === 'open' ? afterGate(gate, ok) : ok)(req, res);
};

const hasHead = (text: string): boolean => text.includes('\r\n\r\n');

/** Whether a response says that the request did not run and may be retried within a second, at another host. */
const isRefusedForNow = (text: string): boolean => text.startsWith('HTTP/1.1 503') && /retry-after: 0\.\d/i.test(text);

test('a request that comes late on an open connection of a host that is shutting down is refused and not forwarded', async t => {
	const gate = createGate();
	const {callers, entry, clock, seen} = await startHostWithEndpoints([holdOpen(gate)]);
	// Both connections are accepted before the signal, and their callers send nothing until late.
	const late = await openCaller(callers);
	const last = await openCaller(callers);
	const open = callHost(callers, {headers: {[headerNames.requestId]: 'open'}});
	await gate.begun;
	const stopped = entry.stop();
	clock.advance(lateMs);
	late.sendHead('late', ['content-length: 0']);
	const lateResponse = await late.received(hasHead);
	gate.open();
	const openResponse = await open;
	await stopped;
	// The process has not exited yet, but it waits for no request any more, however early the deadline of the request.
	last.sendHead('last', ['content-length: 0', `${headerNames.deadline}: 1000`]);
	const lastResponse = await last.received(hasHead);
	t.true(openResponse.isWhole);
	t.deepEqual(seen(), ['open']);
	t.true(isRefusedForNow(lateResponse));
	t.true(isRefusedForNow(lastResponse));
});

test('a request whose body or rights come late to a host that is shutting down is refused and not forwarded', async t => {
	const gate = createGate();
	const memory = createMemoryRightsStore();
	const store: RightsStore = {
		...memory,
		async write(...inputs) {
			await gate.pass();
			return memory.write(...inputs);
		},
	};
	const {callers, entry, clock, seen} = await startHostWithEndpoints([ok], {store, config: makeConfig({}, 100_000)});
	const slow = await openCaller(callers);
	slow.sendHead('slow body', ['content-length: 4']);
	slow.send('ab');
	const waiting = callHost(callers, {headers: {[headerNames.requestId]: 'slow rights', [headerNames.tokenCount]: '100,20'}});
	await gate.begun;
	const stopped = entry.stop();
	clock.advance(lateMs);
	gate.open();
	slow.send('cd');
	const [slowResponse, waitingResponse] = await Promise.all([slow.received(hasHead), waiting]);
	await stopped;
	t.deepEqual(seen(), []);
	t.true(isRefusedForNow(slowResponse));
	t.is(waitingResponse.status, 503);
	t.truthy(waitingResponse.headers['retry-after']);
	const [stored] = [...memory.objects.values()];
	t.deepEqual(Object.values(stored!.rights.budgets.org!.holders).map(({granted}) => granted), [0]);
});

test('a host that is shutting down makes no late attempt at another endpoint, and does not say that a lost run did not run', async t => {
	const endAttemptLate = async (answer: Answer) => {
		const gate = createGate();
		const {callers, entry, clock, seen} = await startHostWithEndpoints([afterGate(gate, answer), afterGate(gate, answer)], {config: makeConfig({routes: [makeRoute({maxAttempts: 2})]})});
		const call = callHost(callers);
		await gate.begun;
		const stopped = entry.stop();
		clock.advance(lateMs);
		gate.open();
		const {status} = await call;
		await stopped;
		return {status, runs: seen().length};
	};

	t.deepEqual(await endAttemptLate(refuseToRun), {status: 503, runs: 1});
	t.deepEqual(await endAttemptLate(closeConnection), {status: 502, runs: 1});
	// The caller gets the endpoint's own error response, which tells more than a refusal by the host.
	t.deepEqual(await endAttemptLate(fail), {status: 500, runs: 1});
});

test('a late request whose deadline comes before the end of the shutdown is served', async t => {
	const gate = createGate();
	const {callers, entry, clock, seen} = await startHostWithEndpoints([holdOpen(gate)]);
	const late = await openCaller(callers);
	const open = callHost(callers, {headers: {[headerNames.requestId]: 'open'}});
	await gate.begun;
	const stopped = entry.stop();
	clock.advance(lateMs);
	late.sendHead('short', ['content-length: 0', `${headerNames.deadline}: 1000`]);
	const lateResponse = await late.received(hasHead);
	gate.open();
	await open;
	await stopped;
	t.true(lateResponse.startsWith('HTTP/1.1 200'));
	t.deepEqual(seen(), ['open', 'short']);
});

test('a response that ends while the host returns its last rights is whole', async t => {
	const gate = createGate();
	const {callers, entry, clock} = await startHostWithEndpoints([afterGate(gate, ok)]);
	const call = callHost(callers);
	await gate.begun;
	const stopped = entry.stop();
	clock.advance(returnRightsMs);
	gate.open();
	const {status, isWhole} = await call;
	await stopped;
	t.deepEqual([status, isWhole], [200, true]);
});

test('a request that is open shortly before the end of a shutdown gets its final response before the process may exit', async t => {
	const gate = createGate();
	const {callers, entry, clock} = await startHostWithEndpoints([afterGate(gate, ok)]);
	const call = callHost(callers);
	await gate.begun;
	const stopped = entry.stop();
	clock.advance(cutMs);
	await stopped;
	// `kill` closes all connections, as the exit of the process does.
	await entry.kill();
	const {status, isWhole} = await call;
	gate.open();
	t.deepEqual([status, isWhole], [504, true]);
});

test('a request that is open shortly before the end of a shutdown gets its final response even while the store does not answer', async t => {
	const gate = createGate();
	const memory = createMemoryRightsStore();
	const storeGate = createGate();
	let isSilent = false;
	const store: RightsStore = {
		...memory,
		async write(...inputs) {
			if (isSilent) {
				await storeGate.pass();
			}

			return memory.write(...inputs);
		},
	};
	const {callers, entry, clock} = await startHostWithEndpoints([afterGate(gate, ok)], {store, config: makeConfig({}, 100_000)});
	const call = callHost(callers, {headers: {[headerNames.tokenCount]: '100,20'}});
	await gate.begun;
	isSilent = true;
	const stopped = entry.stop();
	clock.advance(cutMs);
	const {status, isWhole} = await call;
	gate.open();
	storeGate.open();
	await stopped;
	t.deepEqual([status, isWhole], [504, true]);
});

test('a stream that is open shortly before the end of a shutdown does not look whole', async t => {
	const {callers, entry, clock, events} = await startHostWithEndpoints([(_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write('id: 1\ndata: piece 1\n\n');
	}], {config: makeConfig({routes: [makeRoute({kind: 'stream'})]})});
	const caller = await openCaller(callers);
	caller.sendHead('stream', ['content-length: 0']);
	await caller.received(text => text.includes('piece 1'));
	const stopped = entry.stop();
	clock.advance(cutMs);
	await stopped;
	await entry.kill();
	const response = await caller.received();
	t.true(response.includes('piece 1'));
	t.false(response.endsWith('0\r\n\r\n'));
	t.true(events.some(({event}) => event === 'request_refused'));
});

test('a second call to stop waits for the first, and starts no second shutdown', async t => {
	const {entry, clock, events} = await startHostWithEndpoints([ok]);
	const stops = [entry.stop(), entry.stop()];
	clock.advance(lateMs);
	await Promise.all(stops);
	t.deepEqual(events.map(({event}) => event).filter(event => event === 'stopping' || event === 'stopped'), ['stopping', 'stopped']);
});

// Guards against the warning of a listener leak by Node.js: each open request listens to the signal that ends requests at the end of a
// shutdown, and from eleven listeners on Node.js warns.
test.serial('many open requests cause no warning of a listener leak', async t => {
	const many = 20;
	const warnings: string[] = [];
	const noteWarning = ({name}: Error): void => {
		warnings.push(name);
	};

	process.on('warning', noteWarning);
	const gate = createGate();
	let allBegun: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		allBegun = resolve;
	});
	let open = 0;
	const {callers} = await startHostWithEndpoints([async (req, res) => {
		open++;
		if (open === many) {
			allBegun();
		}

		await gate.pass();
		ok(req, res);
	}]);
	const calls = Array.from({length: many}, async () => callHost(callers));
	await begun;
	gate.open();
	await Promise.all(calls);
	process.off('warning', noteWarning);
	t.deepEqual(warnings, []);
});
