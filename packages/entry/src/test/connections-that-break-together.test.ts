/** Guards against endpoints that count as failing because several of a host's connections to them broke at one moment. */
import test from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import {startVersionedFleet, troubleHeader} from './lib/start-versioned-fleet.js';

test('after all connections of a host broke at one moment, it refuses the take-ups of their streams, since all endpoints count as failing', async t => {
	const {hosts: [host], breakHeld} = await startVersionedFleet(t, {halls: ['hall-a'], versions: ['v1', 'v2']});
	const streams = Array.from({length: 12}, (_, index) => openStream(host!.callers, `a${index}`, {[troubleHeader]: 'hold'}));
	const begun = await Promise.all(streams.map(async ({first}) => first));
	breakHeld();
	await Promise.all(streams.map(async ({ended}) => ended));
	for (const [index, event] of begun.entries()) {
		const again = await openStream(host!.callers, `b${index}`, {[headerNames.resumes]: `a${index}`, [headerNames.lastEventId]: '1'}).ended;
		t.deepEqual(again.events.map(({data}) => data), Array.from({length: 5}, () => event!.data));
	}
});
