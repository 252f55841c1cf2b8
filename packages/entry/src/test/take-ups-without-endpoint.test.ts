/** Guards against take-ups of streams that are refused while endpoints of their version are away for a moment, and against waits in vain. */
import test, {type ExecutionContext} from 'ava';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import {startVersionedFleet, troubleHeader} from './lib/start-versioned-fleet.js';

const takeUp = {[headerNames.resumes]: 'a', [headerNames.lastEventId]: '1'};

/** Starts a host whose callers wait for a minute, and begins the stream `a` at its only endpoint of v1. A second one, of v1, and one of v2 are not listed yet. */
const beginStream = async (t: ExecutionContext) => {
	const fleet = await startVersionedFleet(t, {
		halls: ['hall-a'], versions: ['v1', 'v1', 'v2'], listedAtFirst: 1, goalMs: 1000, eventTimeout: {ms: 60_000, goals: 4, pauses: 8},
	});
	const [host] = fleet.hosts;
	const begun = openStream(host!.callers, 'a', {[troubleHeader]: 'hold'});
	await begun.first;
	const [first, second, other] = fleet.endpoints.map(({listed}) => listed);
	return {
		...fleet, begun, host: host!, first: first!, second: second!, other: other!,
	};
};

/** Resolves once the host has had the time for several whole requests. */
const afterRequests = async (callers: string): Promise<void> => {
	for (let count = 0; count < 3; count++) {
		await callHost(callers, {path: '/stream', headers: {[headerNames.apiKey]: 'unknown'}});
	}
};

test('a take-up is refused while its version is not listed, though an endpoint of it comes back at once', async t => {
	const {host, second, other} = await beginStream(t);
	host.entry.listEndpoints([other]);
	const again = openStream(host.callers, 'b', takeUp).ended;
	await afterRequests(host.callers);
	host.entry.listEndpoints([other, second]);
	const {events} = await again;
	t.deepEqual(events.map(({data}) => data), Array.from({length: 5}, () => 'v1'));
});

test('a take-up is refused where the listed endpoints of its version have crashed, though another one comes at once', async t => {
	const {host, endpoints, first, second, other} = await beginStream(t);
	host.entry.listEndpoints([first, other]);
	endpoints[0]!.close();
	const again = openStream(host.callers, 'b', takeUp).ended;
	await host.logged('endpoint_ended');
	await afterRequests(host.callers);
	host.entry.listEndpoints([first, second, other]);
	const {events} = await again;
	t.deepEqual(events.map(({data}) => data), Array.from({length: 5}, () => 'v1'));
});

test('a stream is broken off while its version is not listed, though an endpoint of it comes back at once', async t => {
	const {host, begun, breakHeld, second, other} = await beginStream(t);
	host.entry.listEndpoints([other]);
	breakHeld();
	await host.logged('run_lost');
	await afterRequests(host.callers);
	host.entry.listEndpoints([other, second]);
	const {events, isWhole} = await begun.ended;
	t.true(isWhole);
	t.deepEqual(events, Array.from({length: 6}, (_, index) => ({id: index + 1, data: 'v1'})));
});

test('a take-up waits on after its version is gone for good', async t => {
	const {host, endpoints, other} = await beginStream(t);
	host.entry.listEndpoints([other]);
	const confirming = setInterval(() => {
		host.entry.endpointsConfirmed(performance.now());
	}, 50);
	t.teardown(() => {
		clearInterval(confirming);
	});
	const {status} = await openStream(host.callers, 'b', takeUp).ended;
	t.is(status, 503);
	await host.logged('request_refused', ({code, ran, retry_after_s}) => code === 'stream_version_gone' && ran === 'not_run' && retry_after_s === undefined);
	t.deepEqual(endpoints.flatMap(({seen}) => seen.map(({id}) => id)), ['a']);
});

test('a take-up waits at a host that reaches no endpoint at all, though another host may serve it', async t => {
	const {host, endpoints, first, second} = await beginStream(t);
	host.entry.listEndpoints([first, second]);
	for (const endpoint of endpoints) {
		endpoint.close();
	}

	const {status} = await openStream(host.callers, 'b', takeUp).ended;
	t.is(status, 503);
	await host.logged('request_refused', ({id, code, endpoint_wait_ms}) => id === 'b' && code === 'no_endpoint' && endpoint_wait_ms === undefined);
});
