/**
Guards against requests to an endpoint that has announced in a response that it is leaving, or that has asked for a backoff.

An endpoint announces that it is leaving in the head of a response while the store is unreachable and the host's list still has the
endpoint as ready; or it refuses a request with 503 and a `Retry-After`. A host that learned of this only from the store's list, and
that held no refusal against an endpoint, chose the endpoint again for the next request: more than four seconds after the
announcement, and three times within a backoff of three seconds, so that callers got 503. With such responses logged, 40 of 40 requests
went to the leaving endpoint though another one had capacity, and 40 of 40 were sent first to the endpoint that had asked for a backoff.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {startEndpoint, type Answer, type TestEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const requestCount = 20;

const respondOk: Answer = (_req, res) => {
	res.end('fine');
};

const leavingResponses: Readonly<Record<string, Answer>> = {
	'a complete response'(_req, res) {
		res.setHeader(headerNames.leaving, '1');
		res.end('fine');
	},
	'a server error'(_req, res) {
		res.writeHead(500, {[headerNames.leaving]: '1'});
		res.end();
	},
	'a refusal'(_req, res) {
		res.writeHead(503, {[headerNames.leaving]: '1', [headerNames.notRun]: '1'});
		res.end();
	},
	'the head of a stream'(_req, res) {
		res.writeHead(200, {[headerNames.leaving]: '1', 'content-type': 'text/event-stream'});
		res.end('id: 1\ndata: a\n\n');
	},
};

const askForBackoff = (seconds: string): Answer => (_req, res) => {
	res.writeHead(503, {[headerNames.notRun]: '1', 'retry-after': seconds});
	res.end();
};

type Scope = {teardown: (end: () => Promise<void>) => void};

const startFleet = async (t: Scope, answers: readonly Answer[], kind: 'repeatable' | 'stream' = 'repeatable') => {
	const clock = createManualClock();
	const endpoints = await Promise.all(answers.map(async (answer, index) => startEndpoint(`e${index}`, answer)));
	const host = await startHost(createMemoryRightsStore(), {now: clock.now, schedule: clock.schedule});
	t.teardown(async () => {
		await host.entry.kill();
		for (const {close} of endpoints) {
			close();
		}
	});
	host.entry.configure(makeConfig({routes: [makeRoute({kind, isResumable: kind === 'stream'})]}));
	const listEndpoints = (): void => {
		host.entry.listEndpoints(endpoints.map(({listed}) => listed));
	};

	listEndpoints();
	const sendRequests = async (): Promise<readonly number[]> => {
		const statuses: number[] = [];
		for (let i = 0; i < requestCount; i++) {
			const {status} = await callHost(host.callers);
			statuses.push(status);
			await nextTurn();
		}

		return statuses;
	};

	return {
		host, clock, endpoints, listEndpoints, sendRequests,
	};
};

const requestsSeenBy = ({seen}: TestEndpoint): number => seen.length;

for (const [name, answer] of Object.entries(leavingResponses)) {
	test(`an endpoint that announces in ${name} that it is leaving gets no further request, whatever the list says`, async t => {
		const kind = name.includes('stream') ? 'stream' : 'repeatable';
		const {endpoints, listEndpoints, sendRequests} = await startFleet(t, [answer, respondOk], kind);
		await sendRequests();
		listEndpoints();
		await sendRequests();
		t.is(requestsSeenBy(endpoints[0]!), 1);
	});
}

test('the next incarnation of an endpoint that left gets requests', async t => {
	const {host, endpoints, sendRequests} = await startFleet(t, [leavingResponses['a complete response']!]);
	await sendRequests();
	const {listed} = endpoints[0]!;
	host.entry.listEndpoints([{...listed, id: 'e0 in its next life'}]);
	const [status] = await sendRequests();
	t.is(status, 200);
	t.is(requestsSeenBy(endpoints[0]!), 2);
});

test('an endpoint that asks for a backoff gets no request until the backoff ends, and gets one then', async t => {
	const {clock, endpoints, listEndpoints, sendRequests} = await startFleet(t, [askForBackoff('30'), respondOk, respondOk, respondOk]);
	await sendRequests();
	clock.advance(29_000);
	listEndpoints();
	t.deepEqual(new Set(await sendRequests()), new Set([200]));
	t.is(requestsSeenBy(endpoints[0]!), 1);
	clock.advance(2000);
	await sendRequests();
	t.is(requestsSeenBy(endpoints[0]!), 2);
});

test('when all endpoints have asked for a backoff, callers are told at once when to retry', async t => {
	const {host, clock, endpoints, sendRequests} = await startFleet(t, [askForBackoff('30'), askForBackoff('40')]);
	await sendRequests();
	clock.advance(10_000);
	const {status, headers, body} = await callHost(host.callers);
	t.is(status, 503);
	t.is(Number(headers['retry-after']), 20);
	t.like(JSON.parse(body), {error: {code: 'endpoints_resting', ran: 'not_run'}});
	t.is(requestsSeenBy(endpoints[0]!) + requestsSeenBy(endpoints[1]!), 2);
});

for (const value of ['-1', 'abc', '', '0', 'Infinity', 'Thu, 01 Jan 2099 00:00:00 GMT']) {
	test(`a Retry-After that is no positive number of seconds asks for no backoff: ${value}`, async t => {
		const {endpoints, sendRequests} = await startFleet(t, [askForBackoff(value), respondOk]);
		await sendRequests();
		t.true(requestsSeenBy(endpoints[0]!) > 1);
	});
}

test('a backoff of a year ends after ten minutes', async t => {
	const {clock, endpoints, sendRequests} = await startFleet(t, [askForBackoff('31536000'), respondOk]);
	await sendRequests();
	t.is(requestsSeenBy(endpoints[0]!), 1);
	clock.advance(601_000);
	await sendRequests();
	t.is(requestsSeenBy(endpoints[0]!), 2);
});
