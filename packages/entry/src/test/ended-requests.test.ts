/** Guards against hosts that run out of memory after some thousand requests, however few are open at a time: what a request needed stays reachable after its end. */
import {ClientRequest, IncomingMessage, ServerResponse} from 'node:http';
import {queryObjects} from 'node:v8';
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {startHostBefore} from './lib/start-host-before.js';
import type {Answer} from './lib/start-endpoint.js';

const firstCount = 50;
const laterCount = 3 * firstCount;

/** How many messages one request has in this process: at its caller, from its caller, at its endpoint, and from its endpoint. One request is open at a time. */
const messagesOfRequest = 4;

const types = [ClientRequest, IncomingMessage, ServerResponse];

/** How many objects of requests are reachable in this process, after a full collection. */
const countReachable = (): readonly number[] => types.map(type => queryObjects(type, {format: 'count'}));

const answer: Answer = (_req, res) => {
	res.end('data: 1\n\n');
};

const notRun: Answer = (_req, res) => {
	res.writeHead(503, {[headerNames.notRun]: 'true'}).end();
};

const ends = [
	{
		name: 'was answered', event: 'request_answered', kind: 'repeatable', respond: answer,
	},
	{
		name: 'was streamed', event: 'request_answered', kind: 'stream', respond: answer,
	},
	{
		name: 'no endpoint ran', event: 'request_refused', kind: 'repeatable', respond: notRun,
	},
	{
		name: 'was given up by its caller', event: 'request_left', kind: 'once', respond: () => undefined,
	},
] as const;

for (const {name, event, kind, respond} of ends) {
	test.serial(`a host keeps requests in memory after their end: a request that ${name}`, async t => {
		let leave = (): void => undefined;
		const respondOrLose: Answer = (req, res) => {
			respond(req, res);
			leave();
		};

		const host = await startHostBefore(t, {kind}, [respondOrLose, respondOrLose]);
		const callAll = async (round: string, count: number): Promise<void> => {
			for (let call = 0; call < count; call++) {
				const id = `${round}-${call}`;
				const caller = new AbortController();
				leave = () => {
					if (event === 'request_left') {
						caller.abort();
					}
				};

				await callHost(host.callers, {headers: {[headerNames.requestId]: id}, signal: caller.signal});
				await host.logged(event, fields => fields.id === id);
			}
		};

		await callAll('first', firstCount);
		const before = countReachable();
		await callAll('later', laterCount);
		for (const [index, count] of countReachable().entries()) {
			t.true(count <= before[index]! + messagesOfRequest, `${types[index]!.name}: ${before[index]} after ${firstCount} requests, ${count} after ${firstCount + laterCount}`);
		}
	});
}
