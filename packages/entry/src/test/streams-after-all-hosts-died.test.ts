/** Guards against streams that go on at another software version, or nowhere, once all hosts have died and remember nothing. */
import test, {type ExecutionContext} from 'ava';
import {headerNames} from './lib/header-names.js';
import {openStream, type StreamEnd} from './lib/open-stream.js';
import {startVersionedFleet, streamLength, troubleHeader} from './lib/start-versioned-fleet.js';

const halls = ['hall-a', 'hall-b', 'hall-a', 'hall-b'];

const streamCount = 24;

type Fleet = Awaited<ReturnType<typeof startVersionedFleet>>;

type Hosts = Fleet['hosts'];

const takeUp = (resumes: string): Record<string, string> => ({[headerNames.resumes]: resumes, [headerNames.lastEventId]: '1'});

/** Begins streams at all hosts in turn, and leaves each of them after its first event; returns the version of each. */
const beginStreams = async (hosts: Hosts, name: string): Promise<readonly string[]> => Promise.all(Array.from({length: streamCount}, async (_, index) => {
	const first = await openStream(hosts[index % hosts.length]!.callers, `${name}${index}`, {[troubleHeader]: 'hold'}).first;
	return first!.data;
}));

const takeUpAll = async (hosts: Hosts, name: string): Promise<readonly StreamEnd[]> => Promise.all(Array.from({length: streamCount}, async (_, index) =>
	openStream(hosts[(index + 1) % hosts.length]!.callers, `t-${name}${index}`, takeUp(`${name}${index}`)).ended));

const killAll = async (hosts: Hosts): Promise<void> => {
	await Promise.all(hosts.map(async ({entry}) => entry.kill()));
};

const listedOf = ({endpoints}: Fleet, ...versions: readonly string[]) => endpoints.map(({listed}) => listed).filter(({version}) => versions.includes(version!));

const listAt = (hosts: Hosts, listed: ReturnType<typeof listedOf>): void => {
	for (const {entry} of hosts) {
		entry.listEndpoints(listed);
	}
};

/** Asserts that streams went on at the version that began them where `served` has it, and that all others were refused as not run and without a time to come back. */
const assertTakenUp = (t: ExecutionContext, ends: readonly StreamEnd[], begun: readonly string[], served: readonly string[]): void => {
	t.deepEqual(
		ends.map(({status, events}) => ({status, versions: events.map(({data}) => data)})),
		begun.map(version => served.includes(version)
			? {status: 200, versions: Array.from({length: streamLength - 1}, () => version)}
			: {status: 503, versions: []}),
	);
};

const versions = ['v1', 'v1', 'v2', 'v2'];

test('streams of a version that left before all hosts died go on at the version that is left', async t => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 2});
	const early = await beginStreams(fleet.hosts, 'early');
	listAt(fleet.hosts, listedOf(fleet, 'v1', 'v2'));
	const mixed = await beginStreams(fleet.hosts, 'mixed');
	await killAll(fleet.hosts);
	const hosts = await fleet.startAgain(listedOf(fleet, 'v2'));
	assertTakenUp(t, await takeUpAll(hosts, 'early'), early, ['v2']);
	assertTakenUp(t, await takeUpAll(hosts, 'mixed'), mixed, ['v2']);
});

test('streams of two versions that both serve on are refused once all hosts have died', async t => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 2});
	const early = await beginStreams(fleet.hosts, 'early');
	listAt(fleet.hosts, listedOf(fleet, 'v1', 'v2'));
	const mixed = await beginStreams(fleet.hosts, 'mixed');
	await killAll(fleet.hosts);
	const hosts = await fleet.startAgain(listedOf(fleet, 'v1', 'v2'));
	assertTakenUp(t, await takeUpAll(hosts, 'early'), early, ['v1', 'v2']);
	assertTakenUp(t, await takeUpAll(hosts, 'mixed'), mixed, ['v1', 'v2']);
});

test('streams of the only version go on at one that came while all hosts were dead', async t => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 2});
	const begun = await beginStreams(fleet.hosts, 's');
	await killAll(fleet.hosts);
	const hosts = await fleet.startAgain(listedOf(fleet, 'v2'));
	assertTakenUp(t, await takeUpAll(hosts, 's'), begun, ['v2']);
});

test('streams go on at another version, or nowhere, once all hosts have died twice', async t => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 2});
	await beginStreams(fleet.hosts, 'before');
	listAt(fleet.hosts, listedOf(fleet, 'v1', 'v2'));
	const begun = await beginStreams(fleet.hosts, 's');
	await killAll(fleet.hosts);
	const between = await fleet.startAgain(listedOf(fleet, 'v1', 'v2'));
	const later = await beginStreams(between, 'later');
	await killAll(between);
	const hosts = await fleet.startAgain(listedOf(fleet, 'v1', 'v2'));
	assertTakenUp(t, await takeUpAll(hosts, 's'), begun, ['v1', 'v2']);
	assertTakenUp(t, await takeUpAll(hosts, 'later'), later, ['v1', 'v2']);
});
