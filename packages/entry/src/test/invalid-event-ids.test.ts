/** Guards against bytes in the id of an event that end the host once it sends the stream on to another endpoint, and with it all of its other requests. */
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import type {Answer} from './lib/start-endpoint.js';
import {startHostBefore} from './lib/start-host-before.js';

const eventOf = (id: number | string): string => `id: ${id}\ndata: piece\n\n`;

/** Starts a host before two endpoints. The run that comes first breaks off after these events, any other goes on after the event that its request names, up to event 4. */
const callBroken = async (t: ExecutionContext, isResumable: boolean, events: string) => {
	const resumedAfter: unknown[] = [];
	let runs = 0;
	const answer: Answer = (req, res) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		if (runs++ === 0) {
			res.write(events, 'latin1', () => {
				res.destroy();
			});
			return;
		}

		const after = req.headers[headerNames.lastEventId];
		resumedAfter.push(after);
		res.end([1, 2, 3, 4].filter(id => id > Number(after ?? 0)).map(id => eventOf(id)).join(''));
	};

	const host = await startHostBefore(t, {kind: 'stream', isResumable}, [answer, answer]);
	const {status, isWhole, body} = await openStream(host.callers, 's1').ended;
	return {
		status, isWhole, body, resumedAfter, logged: async () => host.logged('response_invalid', ({endpoint, reason}) => endpoint === 'e0' && reason === 'event_id'),
	};
};

const allEvents = [1, 2, 3, 4].map(id => eventOf(id)).join('');

for (const code of [0x00, 0x01, 0x1F, 0x7F]) {
	const spoiled = eventOf(`2${String.fromCodePoint(code)}`);
	const name = `a control character (${code})`;

	test(`a stream that goes on after an event id with ${name} ends the host`, async t => {
		const {logged, ...end} = await callBroken(t, true, `${eventOf(1)}${spoiled}${eventOf(3)}`);
		t.deepEqual(end, {
			status: 200, isWhole: true, body: allEvents, resumedAfter: ['1'],
		});
		await logged();
	});

	test(`a stream whose first event id has ${name} is passed on with it`, async t => {
		const {status, isWhole, body, resumedAfter} = await callBroken(t, true, spoiled);
		t.deepEqual({
			status, isWhole, body, resumedAfter,
		}, {
			status: 200, isWhole: true, body: allEvents, resumedAfter: [undefined],
		});
	});

	test(`a stream that may not run again looks whole after an event id with ${name}`, async t => {
		const {isWhole, body, resumedAfter} = await callBroken(t, false, `${eventOf(1)}${spoiled}${eventOf(3)}`);
		t.deepEqual({isWhole, body, resumedAfter}, {isWhole: false, body: eventOf(1), resumedAfter: []});
	});
}
