/**
What a caller would see, found by looking for the cause of an incident with links between hosts elsewhere (not seen in a
played day so far): after the connections to an endpoint went silent, one request after the other waits until its deadline,
as many as there were connections kept.

Order of events: kept connections carry nothing any more, new ones work. A request takes the one that was used last and gets
no answer; it ends at its deadline, which says nothing of its endpoint; the next request takes the next connection.

Cause: a missing answer was held against its own connection only. Evidence: this test, before the mend.
*/
import test from 'ava';
import {startRelay} from '@deckwheel/stand-ins';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

/** Time limits of requests, in ms: one that ends on the silent connection, and one that a slow machine keeps. */
const shortDeadline = {[headerNames.deadline]: '1500'};
const longDeadline = {[headerNames.deadline]: '20000'};

test('one silent connection to an endpoint costs one request, however many were kept', async t => {
	const waiting: Array<() => void> = [];
	const endpoint = await startEndpoint('e0', (req, res) => {
		const answer = (): void => {
			res.end('fine');
		};

		// Requests that are to be under way together wait for each other, so that each has a connection of its own.
		if (req.url === '/together') {
			waiting.push(answer);
			if (waiting.length === 3) {
				for (const end of waiting) {
					end();
				}
			}
		} else {
			answer();
		}
	});
	const [relay, host] = await Promise.all([startRelay(), startHost(createMemoryRightsStore())]);
	t.teardown(async () => {
		await Promise.all([relay.close(), host.entry.kill()]);
		endpoint.close();
	});
	relay.aimAt(Number(endpoint.listed.address.split(':')[1]));
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([{...endpoint.listed, address: `127.0.0.1:${relay.port}`}]);
	const together = await Promise.all([1, 2, 3].map(async () => callHost(host.callers, {path: '/together', headers: longDeadline})));
	t.deepEqual(together.map(({status}) => status), [200, 200, 200]);

	relay.silence();
	const first = await callHost(host.callers, {path: '/alone', headers: shortDeadline});
	t.is(first.status, 504);
	const second = await callHost(host.callers, {path: '/alone', headers: longDeadline});
	t.is(second.status, 200);
});
