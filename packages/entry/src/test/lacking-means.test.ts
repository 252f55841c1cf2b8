/** Guards against lines of ended requests that do not tell what a further attempt lacked. */
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {openStream} from './lib/open-stream.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const breakOff: Answer = (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.write('id: 1\ndata: piece\n\n', () => {
		res.destroy();
	});
};

/** Starts a host with two endpoints that break each stream off after an event, and sends a prompt of 60 tokens to it. `limit`: the tokens of its organisation. */
const breakStream = async (t: ExecutionContext, {retryRatio, limit}: {readonly retryRatio: number; readonly limit: number}) => {
	const endpoints = await Promise.all([startEndpoint('e0', breakOff), startEndpoint('e1', breakOff)]);
	const host = await startHost(createMemoryRightsStore(), {retries: {retryRatio, retryWindowMs: 600_000}});
	t.teardown(async () => {
		await host.entry.kill();
		for (const endpoint of endpoints) {
			endpoint.close();
		}
	});
	host.entry.configure(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true, goalMs: 100})]}, limit));
	host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	const {isWhole} = await openStream(host.callers, 'a', {[headerNames.tokenCount]: '10,50'}).ended;
	t.false(isWhole);
	return {host, arrivals: endpoints.flatMap(({seen}) => seen).length};
};

test('the line of a stream does not tell that it lacked a retry', async t => {
	const {host, arrivals} = await breakStream(t, {retryRatio: 0, limit: 1000});
	await host.logged('request_refused', ({id, lacking}) => id === 'a' && lacking === 'retry');
	t.is(arrivals, 1);
});

test('the line of a stream does not tell that it lacked rights', async t => {
	const {host, arrivals} = await breakStream(t, {retryRatio: 1, limit: 60});
	await host.logged('request_refused', ({id, lacking}) => id === 'a' && lacking === 'rights');
	t.is(arrivals, 1);
});

test('the line of a stream tells that it lacked something although its further attempt was made', async t => {
	const {host, arrivals} = await breakStream(t, {retryRatio: 1, limit: 1000});
	await host.logged('request_refused', ({id, lacking}) => id === 'a' && lacking === undefined);
	t.is(arrivals, 2);
});
