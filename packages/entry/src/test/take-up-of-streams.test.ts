/** Guards against take-ups of streams that go on at a wrong endpoint, are refused without need, or learn of the streams of others. */
import test from 'ava';
import {startRelay} from '@deckwheel/stand-ins';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import {eventually} from './lib/start-crashing-fleet.js';
import {makeConfig, makeRoute} from './lib/start-host.js';
import {startVersionedFleet, troubleHeader} from './lib/start-versioned-fleet.js';

const takeUp = (resumes: string, after = 1): Record<string, string> => ({[headerNames.resumes]: resumes, [headerNames.lastEventId]: String(after)});

const hold = {[troubleHeader]: 'hold'};

test('a caller that takes up a take-up, or names an event on a first attempt, gets another version', async t => {
	const {hosts: [first, second, third]} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-b', 'hall-a'], versions: ['v1', 'v2', 'v1', 'v2']});
	for (let index = 0; index < 10; index++) {
		const begun = await openStream(first!.callers, `a${index}`, {...hold, [headerNames.lastEventId]: '0'}).first;
		const again = await openStream(second!.callers, `b${index}`, takeUp(`a${index}`)).ended;
		const last = await openStream(third!.callers, `c${index}`, takeUp(`a${index}`, 3)).ended;
		t.deepEqual([...again.events, ...last.events].map(({data}) => data), Array.from({length: 8}, () => begun!.data));
	}
});

test('a caller that names the stream of another organisation learns or replaces where it began', async t => {
	const {hosts: [first, second], originStore} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-b'], versions: ['v1', 'v2', 'v1', 'v2']});
	const organisation = {limit: undefined, priority: undefined};
	for (const {entry} of [first!, second!]) {
		entry.configure(makeConfig({
			version: 2,
			routes: [makeRoute({kind: 'stream', isResumable: true, maxAttempts: 4})],
			organisationsByKey: new Map([['key', {name: 'org', ...organisation}], ['other', {name: 'other', ...organisation}]]),
		}));
	}

	const begun = await Promise.all(Array.from({length: 8}, async (_, index) => openStream(first!.callers, `mine-${index}`, hold).first));
	const {base} = originStore.copy().versions.services[0]!;
	t.true(begun.some(event => event!.data !== base));
	for (const [number, event] of begun.entries()) {
		const foreign = await openStream(second!.callers, `f${number}`, {...takeUp(`mine-${number}`), [headerNames.apiKey]: 'other'}).ended;
		// Where the other organisation's stream began makes no difference.
		t.deepEqual(foreign.events.map(({data}) => data), Array.from({length: 5}, () => base));
		for (let index = 0; index < 4; index++) {
			await openStream(second!.callers, `mine-${number}`, {[headerNames.apiKey]: 'other'}).ended;
		}

		const own = await openStream(second!.callers, `t${number}`, takeUp(`mine-${number}`)).ended;
		t.deepEqual(own.events.map(({data}) => data), Array.from({length: 5}, () => event!.data));
	}
});

test('a stream of which no host knows the version is sent to endpoints, or refused as if it could never go on', async t => {
	const {hosts: [host], endpoints} = await startVersionedFleet(t, {halls: ['hall-a'], versions: ['v1', 'v2']});
	const refused = await openStream(host!.callers, 't', takeUp('never-begun')).ended;
	t.is(refused.status, 503);
	t.deepEqual(endpoints.flatMap(({seen}) => seen), []);
	await host!.logged('request_refused', ({code, ran, retry_after_s}) => code === 'stream_origin_unknown' && ran === 'not_run' && Number(retry_after_s) > 0);
});

test('a caller that got no event, or a service with one version, is refused for an unknown beginning', async t => {
	const {hosts: [host]} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-a'], versions: ['v1', 'v2']});
	const anew = await openStream(host!.callers, 't1', {[headerNames.resumes]: 'no-event'}).ended;
	t.is(anew.status, 200);
	const single = await startVersionedFleet(t, {halls: ['hall-a'], versions: ['v1', 'v1']});
	const again = await openStream(single.hosts[0]!.callers, 't2', takeUp('unknown')).ended;
	t.is(again.status, 200);
});

test('a stream that begins at an endpoint without a version goes on at one that has a version', async t => {
	const {hosts: [first, second]} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-a'], versions: [undefined, 'v1', undefined, 'v1']});
	for (let index = 0; index < 10; index++) {
		const begun = await openStream(first!.callers, `a${index}`, hold).first;
		const again = await openStream(second!.callers, `b${index}`, takeUp(`a${index}`)).ended;
		t.true(again.events.length > 0 && again.events.every(({data}) => data === begun!.data));
	}
});

test('a stream that began before the second version came goes on at that one', async t => {
	const {hosts: [first, second], endpoints} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-a'], versions: ['v1', 'v1', 'v2', 'v2'], listedAtFirst: 2});
	const begun = Array.from({length: 10}, (_, index) => openStream(first!.callers, `a${index}`, hold));
	await Promise.all(begun.map(async stream => stream.first));
	for (const {entry} of [first!, second!]) {
		entry.listEndpoints(endpoints.map(({listed}) => listed));
	}

	for (const index of begun.keys()) {
		const again = await openStream(second!.callers, `b${index}`, takeUp(`a${index}`)).ended;
		t.deepEqual(again.events.map(({data}) => data), Array.from({length: 5}, () => 'v1'));
	}
});

test('a stream that began before the second version came is lost with its host', async t => {
	const {hosts: [first, second], endpoints} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-a'], versions: ['v1', 'v1', 'v2', 'v2'], listedAtFirst: 2});
	const begun = Array.from({length: 10}, (_, index) => openStream(first!.callers, `a${index}`, hold));
	await Promise.all(begun.map(async stream => stream.first));
	for (const {entry} of [first!, second!]) {
		entry.listEndpoints(endpoints.map(({listed}) => listed));
	}

	// Its first event comes once the other host has got what was sent before.
	await openStream(first!.callers, 'later', hold).first;
	await first!.entry.kill();
	for (const index of begun.keys()) {
		const again = await openStream(second!.callers, `b${index}`, takeUp(`a${index}`)).ended;
		t.deepEqual(again.events.map(({data}) => data), Array.from({length: 5}, () => 'v1'));
	}
});

test('a first event reaches the caller before another host keeps where the stream began', async t => {
	const relay = await startRelay();
	t.teardown(relay.close);
	const {hosts: [host], endpoints} = await startVersionedFleet(t, {
		halls: ['hall-a', 'hall-a'], versions: ['v1', 'v2'], seenAs(peer) {
			relay.aimAt(Number(peer.address.split(':')[1]));
			return {...peer, address: `127.0.0.1:${relay.port}`};
		},
	});
	await openStream(host!.callers, 'warm', hold).first;
	relay.silence();
	let hasEvent = false;
	const stream = openStream(host!.callers, 's', hold);
	const noteFirst = async (): Promise<void> => {
		await stream.first;
		hasEvent = true;
	};

	const noted = noteFirst();
	t.true(await eventually(() => endpoints.some(({seen}) => seen.some(({id}) => id === 's'))));
	// A whole request takes longer than an event that its endpoint has written.
	await callHost(host!.callers, {path: '/stream', headers: {[headerNames.apiKey]: 'unknown'}});
	await callHost(host!.callers, {path: '/stream', headers: {[headerNames.apiKey]: 'unknown'}});
	t.false(hasEvent);
	await relay.close();
	await noted;
	t.true(hasEvent);
});

test('a stream that is taken up goes on at another service of its route', async t => {
	const {hosts, endpoints} = await startVersionedFleet(t, {halls: ['hall-a', 'hall-b'], versions: ['v1', 'v1']});
	const names = ['s', 'other'];
	for (const {entry} of hosts) {
		entry.configure(makeConfig({version: 2, routes: [makeRoute({kind: 'stream', isResumable: true, services: names.map(service => ({service, weight: 1}))})]}));
		entry.listEndpoints(endpoints.map(({listed}, index) => ({...listed, serves: [names[index]!]})));
	}

	for (let index = 0; index < 20; index++) {
		await openStream(hosts[0]!.callers, `a${index}`, hold).first;
		await openStream(hosts[1]!.callers, `b${index}`, takeUp(`a${index}`)).ended;
	}

	const numbersSeen = endpoints.map(({seen}) => seen.map(({id}) => id));
	t.true(numbersSeen.every(ids => ids.length > 0));
	for (const ids of numbersSeen) {
		t.deepEqual(ids.filter(id => id.startsWith('b')).map(id => id.slice(1)), ids.filter(id => id.startsWith('a')).map(id => id.slice(1)));
	}
});

test('a stream of a version that joined while a hall was cut off goes on there at another version', async t => {
	const {hosts: [first, second, other], endpoints} = await startVersionedFleet(t, {
		halls: ['hall-a', 'hall-a', 'hall-b'], versions: ['v1', 'v1', 'v2', 'v2'], listedAtFirst: 2,
		seenAs: (peer, hall) => peer.hall === hall ? peer : {...peer, address: '127.0.0.1:1'},
	});
	for (const {callers} of [first!, second!]) {
		await openStream(callers, 'before', takeUp('begun-before')).ended;
	}

	const listed = endpoints.map(endpoint => endpoint.listed);
	other!.entry.listEndpoints(listed);
	const begun = await Promise.all(Array.from({length: 12}, async (_, index) => openStream(other!.callers, `a${index}`, hold).first));
	t.true(begun.some(event => event!.data === 'v2'));
	for (const isListed of [false, true]) {
		if (isListed) {
			first!.entry.listEndpoints(listed);
		}

		for (const [index, event] of begun.entries()) {
			const {status, events} = await openStream(first!.callers, `b${index}-${String(isListed)}`, takeUp(`a${index}`)).ended;
			const goesOn = isListed || event!.data === 'v1';
			t.is(status, goesOn ? 200 : 503);
			t.deepEqual(events.map(({data}) => data), goesOn ? Array.from({length: 5}, () => event!.data) : []);
		}
	}
});
