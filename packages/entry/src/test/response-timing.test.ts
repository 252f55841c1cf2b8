import test from 'ava';
import {createResponseTimer} from '../lib/relaying/create-response-timer.js';
import type {HostContext} from '../lib/request/host-context.js';
import {createRequestLog} from '../lib/request/create-request-log.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {callHost} from './lib/call-host.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** A host that keeps the lines it logs, at 1,700 ms. */
const startLog = () => {
	const lines: unknown[] = [];
	const host: Partial<HostContext> = {
		now: () => 1700,
		log(event, fields) {
			lines.push({event, ...fields});
		},
	};
	return {host: host as HostContext, lines};
};

test('the timer tells the last time of sending, the first byte, and the longest pause between events', t => {
	let now = 1000;
	const timer = createResponseTimer(() => now);
	t.deepEqual(timer.timing(), {
		chosenAt: undefined, sentAt: undefined, firstAt: undefined, maxPauseMs: undefined,
	});
	timer.noteChosen();
	now = 1005;
	timer.noteSent();
	for (const at of [1200, 1230, 1500]) {
		now = at;
		timer.noteEvents();
	}

	// A second run goes on with the stream after the first broke off.
	now = 1510;
	timer.noteSent();
	now = 1600;
	timer.noteEvents();
	timer.noteBegun();
	t.deepEqual(timer.timing(), {
		chosenAt: 1000, sentAt: 1510, firstAt: 1200, maxPauseMs: 270,
	});
});

test('the log tells times from the receipt of the request on, and leaves out what did not happen', t => {
	const {host, lines} = startLog();
	const log = createRequestLog({
		id: 'q', receivedAt: 1000, waitedMs: 0, res: undefined as never,
	}, host);
	log.answered({status: 200, timing: {sentAt: 1010.4, firstAt: 1200.6, maxPauseMs: 269.7}}, {});
	log.answered({status: 200, timing: {sentAt: 1010, firstAt: 1200}}, {});
	const line = {
		event: 'request_answered', id: 'q', status: 200, ms: 700, sent_ms: 10,
	};
	t.deepEqual(lines, [{...line, first_ms: 201, max_pause_ms: 270}, {...line, first_ms: 200, max_pause_ms: undefined}]);
});

test('the log of a caller that left tells when the request was read and sent, and when it was read that the caller left', t => {
	const {host, lines} = startLog();
	const log = createRequestLog({
		id: 'q', receivedAt: 1000, waitedMs: 300, res: undefined as never,
	}, host);
	log.left({timing: {chosenAt: 1310, sentAt: 1350}, leftAt: 1360}, {reason: 'lost'});
	t.deepEqual(lines, [{
		event: 'request_left', id: 'q', ms: 700, waited_ms: 300, chosen_ms: 310, sent_ms: 350, left_ms: 360, reason: 'lost',
	}]);
});

test('the line of an answered stream has all three times, that of another answer two', async t => {
	const [host, endpoint] = await Promise.all([startHost(createMemoryRightsStore()), startEndpoint('e', (_req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write('data: 1\n\n');
		setImmediate(() => {
			res.end('data: 2\n\n');
		});
	})]);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({name: 'stream', kind: 'stream', pathPrefix: '/stream'}), makeRoute()]}));
	host.entry.listEndpoints([endpoint.listed]);
	const timeFields = ['sent_ms', 'first_ms', 'max_pause_ms'];
	for (const [path, route] of [['/stream', 'stream'], ['/other', 'r']] as const) {
		const {status} = await callHost(host.callers, {path});
		t.is(status, 200);
		await host.logged('request_answered', fields => fields.route === route);
		const {fields} = host.events.find(line => line.event === 'request_answered' && line.fields.route === route)!;
		const times = timeFields.map(name => fields[name]).filter(time => typeof time === 'number');
		t.true(times.length >= 2);
		t.true(times.every(time => time >= 0 && time <= (fields.ms as number)));
		t.true(fields.sent_ms as number <= (fields.first_ms as number));
		t.true(route === 'stream' || fields.max_pause_ms === undefined);
	}
});
