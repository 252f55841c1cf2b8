/** Guards against streams that go on at another software version since the store kept an origin without an answer, the stream began elsewhere, and all hosts died. */
import test from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import {startVersionedFleet, troubleHeader} from './lib/start-versioned-fleet.js';

const halls = ['hall-a', 'hall-b', 'hall-c', 'hall-a', 'hall-b', 'hall-c', 'hall-a'];

const versions = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2'];

const streamCount = 28;

test('streams that began at the base version go on at the version of an attempt before, whose origin the store took without an answer', async t => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 3});
	const listed = fleet.endpoints.map(endpoint => endpoint.listed);
	await Promise.all(fleet.hosts.map(async ({callers}, index) => openStream(callers, `early${index}`).ended));
	const {originStore} = fleet;
	const {writeOrigins} = originStore;
	const written = new Set<string>();
	let losesAnswers = true;
	Object.assign(originStore, {
		async writeOrigins(...[host, stored]: Parameters<typeof writeOrigins>) {
			if (!losesAnswers) {
				return writeOrigins(host, stored);
			}

			if (!written.has(host)) {
				written.add(host);
				await writeOrigins(host, stored);
			}

			return undefined;
		},
	});
	for (const {entry} of fleet.hosts) {
		entry.listEndpoints(listed);
	}

	const begun = await Promise.all(Array.from({length: streamCount}, async (_, index) =>
		openStream(fleet.hosts[index % halls.length]!.callers, `s${index}`, {[troubleHeader]: 'hold'}).first));
	await Promise.all(fleet.hosts.map(async ({entry}) => entry.kill()));
	losesAnswers = false;
	const hosts = await fleet.startAgain(listed);
	const ends = await Promise.all(begun.map(async (first, index) => first && openStream(hosts[(index + 1) % halls.length]!.callers, `t${index}`, {
		[headerNames.resumes]: `s${index}`, [headerNames.lastEventId]: '1',
	}).ended));
	const crossed = begun.flatMap((first, index) => ends[index]?.events.some(({data}) => data !== first!.data) ? [`s${index} began at ${first!.data}`] : []);
	t.deepEqual(crossed, []);
	t.true(written.size > 0, 'origins that the store took without an answer');
});
