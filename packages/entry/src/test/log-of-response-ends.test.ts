/** Guards against logs in which a response that was cut short reads word for word like a whole one. */
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import type {Answer} from './lib/start-endpoint.js';
import {startHostBefore} from './lib/start-host-before.js';

const events = 'id: 1\ndata: first\n\nid: 2\ndata: second\n\n';

const fieldsOf = async (t: ExecutionContext, answer: Answer, event: string) => {
	const host = await startHostBefore(t, {kind: 'stream', isResumable: false}, [answer]);
	await openStream(host.callers, 's1').ended;
	await host.logged(event);
	const {framing, through, events: relayed, end} = host.events.find(line => line.event === event)!.fields;
	return {
		framing, through, events: relayed, end,
	};
};

test('the log does not tell that chunks ended a stream', async t => {
	const fields = await fieldsOf(t, (_req, res) => res.end(events), 'request_answered');
	t.deepEqual(fields, {
		framing: 'stated', through: undefined, events: 2, end: 'stated',
	});
});

test('the log does not tell that only the end of its connection ended a stream', async t => {
	const fields = await fieldsOf(t, (req, {socket}) => {
		socket!.end(`HTTP/1.1 200 OK\r\n${headerNames.requestId}: ${String(req.headers[headerNames.requestId])}\r\n${headerNames.stamp}: e\r\n\r\n${events}`);
	}, 'request_answered');
	t.like(fields, {framing: 'connection', through: undefined, events: 2});
});

for (const kind of ['stream', 'repeatable'] as const) {
	test(`the log does not tell how many bytes came of a response that broke: ${kind}`, async t => {
		const host = await startHostBefore(t, {kind, isResumable: false, maxAttempts: 1}, [(_req, res) => {
			res.write(events, () => {
				res.destroy();
			});
		}]);
		await openStream(host.callers, 's1').ended;
		await host.logged('response_broken');
		t.like(host.events.find(line => line.event === 'response_broken')!.fields, {id: 's1', endpoint: 'e0', bytes: events.length});
	});
}

test('the log does not tell why a stream counts as broken', async t => {
	const fields = await fieldsOf(t, (_req, res) => {
		res.write(events, () => {
			res.destroy();
		});
	}, 'response_broken');
	t.deepEqual(fields, {
		framing: 'stated', through: undefined, events: 2, end: 'ECONNRESET',
	});
});
