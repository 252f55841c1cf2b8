/** Guards against hosts that missed a version, as one or together, and send streams of it on to another one. */
import test from 'ava';
import {createOriginFleet, type FleetHost} from './lib/create-origin-fleet.js';

const keys = Array.from({length: 20}, (_, index) => `stream-${index}`);

/** How long a host may be out of step before the streams are taken up there, in ms. */
const lagMs = 3000;

/** Lets all hosts be up for so long that they know of all versions before. */
const settleMs = 120_000;

/** The number of hosts in each hall. */
const halls = [3, 3];

/** Begins streams at a version that joins while the first of some hosts are out of step. */
const startOutOfStep = async (count: number, {isStoreAway = false, forMs = lagMs} = {}) => {
	const fleet = createOriginFleet({halls});
	fleet.list(fleet.hosts, 'v1');
	await fleet.pass(settleMs);
	fleet.confirm(fleet.hosts);
	const lagging = fleet.hosts.slice(0, count);
	const inStep = fleet.hosts.slice(count);
	for (const host of lagging) {
		fleet.cut.add(host);
		if (isStoreAway) {
			fleet.withoutStore.add(host);
		}
	}

	// Known to the store as the base.
	await fleet.begin(inStep.at(-1)!, 'v1', ['first']);
	fleet.list(inStep, 'v1', 'v2');
	await fleet.begin(inStep.at(-1)!, 'v2', keys);
	await fleet.pass(forMs);
	fleet.confirm(inStep);
	return {...fleet, lagging, inStep};
};

const versionsOf = async (fleet: Awaited<ReturnType<typeof startOutOfStep>>): Promise<ReadonlySet<string>> => {
	const found = await fleet.takeUp(fleet.lagging[0]!, keys);
	return new Set(found.map(origin => origin.type === 'known' ? origin.origin.version : origin.type));
};

const counts: ReadonlyArray<readonly [name: string, count: number]> = [['one host', 1], ['two hosts of a hall', 2], ['a whole hall', 3], ['all hosts but one', 5]];

for (const [name, count] of counts) {
	test(`${name} out of step, the store in reach: a stream goes on at another version`, async t => {
		t.deepEqual(await versionsOf(await startOutOfStep(count)), new Set(['v2']));
	});

	test(`${name} out of step, the store away: a stream goes on at another version`, async t => {
		t.deepEqual(await versionsOf(await startOutOfStep(count, {isStoreAway: true})), new Set(['unreadable']));
	});

	test(`${name} out of step, the links back before the list: a stream goes on at another version`, async t => {
		const fleet = await startOutOfStep(count, {isStoreAway: true});
		fleet.cut.clear();
		t.deepEqual(await versionsOf(fleet), new Set(['v2']));
	});
}

for (const count of [2, 3]) {
	test(`${count} hosts of a hall that were cut off a moment ago go on with a stream at another version`, async t => {
		t.deepEqual(await versionsOf(await startOutOfStep(count, {isStoreAway: true, forMs: 0})), new Set(['unreadable']));
	});
}

test('a whole hall that started a short time ago is out of step: a stream goes on at another version', async t => {
	const fleet = createOriginFleet({halls});
	fleet.list(fleet.hosts, 'v1');
	await fleet.pass(settleMs);
	await fleet.begin(fleet.hosts[5]!, 'v1', ['first']);
	const young = fleet.hosts.slice(0, 3).map(host => fleet.restart(host));
	fleet.list(fleet.hosts, 'v1');
	for (const host of young) {
		fleet.cut.add(host);
	}

	// Each reads the store once.
	for (const host of young) {
		await fleet.takeUp(host, ['first']);
		fleet.withoutStore.add(host);
	}

	fleet.list(fleet.hosts.slice(3), 'v1', 'v2');
	await fleet.begin(fleet.hosts[5]!, 'v2', keys);
	const found = await fleet.takeUp(young[0]!, keys);
	t.deepEqual(new Set(found.map(({type}) => type)), new Set(['unreadable']));
});

test('a stream goes on at another version after the old one has left everywhere but at hosts out of step', async t => {
	const fleet = await startOutOfStep(3, {isStoreAway: true});
	fleet.list(fleet.inStep, 'v2');
	await fleet.pass(settleMs);
	fleet.confirm(fleet.inStep);
	await fleet.begin(fleet.inStep[0]!, 'v2', ['late']);
	fleet.cut.clear();
	const [found] = await fleet.takeUp(fleet.lagging[0]!, ['late']);
	t.not(found!.type, 'single');
});

test('hosts whose machines were suspended together go on with a stream at another version', async t => {
	const fleet = await startOutOfStep(5, {isStoreAway: true});
	fleet.inStep.map(host => fleet.dead.add(host));
	fleet.cut.clear();
	fleet.suspend(lagMs);
	t.deepEqual(await versionsOf(fleet), new Set(['unreadable']));
});

test('a take-up in a calm fleet costs a call to the store, or more than three messages for each hall', async t => {
	for (const sizes of [[3, 3], [1, 1, 1], [1], [8, 8, 8]]) {
		const fleet = createOriginFleet({halls: sizes});
		fleet.list(fleet.hosts, 'v1');
		await fleet.pass(settleMs);
		fleet.confirm(fleet.hosts);
		const before = {calls: fleet.storeCalls(), messages: fleet.messages()};
		const found = await fleet.takeUp(fleet.hosts[0]!, keys);
		t.deepEqual(new Set(found.map(({type}) => type)), new Set(['single']));
		t.is(fleet.storeCalls(), before.calls);
		t.true(fleet.messages() - before.messages <= keys.length * 3 * sizes.length);
	}
});

test('a take-up costs a call to the store while one host of each hall is dead', async t => {
	const fleet = createOriginFleet({halls: [4, 4]});
	fleet.list(fleet.hosts, 'v1');
	await fleet.pass(settleMs);
	fleet.confirm(fleet.hosts);
	const dead: readonly FleetHost[] = [fleet.hosts[1]!, fleet.hosts[5]!];
	for (const host of dead) {
		fleet.dead.add(host);
	}

	const before = fleet.storeCalls();
	const found = await fleet.takeUp(fleet.hosts[0]!, keys);
	t.deepEqual(new Set(found.map(({type}) => type)), new Set(['single']));
	t.is(fleet.storeCalls(), before);
});

test('the reply of a host of an earlier version of this program, which does not tell the age of its list, counts as proof', async t => {
	for (const isStoreAway of [false, true]) {
		const fleet = createOriginFleet({halls, mapReply: ({listAgeMs, ...reply}) => reply});
		fleet.list(fleet.hosts, 'v1');
		await fleet.pass(settleMs);
		fleet.confirm(fleet.hosts);
		const [host] = fleet.hosts;
		if (isStoreAway) {
			fleet.withoutStore.add(host!);
		}

		const [found] = await fleet.takeUp(host!, ['a']);
		t.like(found, isStoreAway ? {type: 'unreadable'} : {type: 'single', by: 'store'});
	}
});

const gone = {service: 's', version: 'v2'};

test('a version that a list lacks because it is old is said to be gone for good', async t => {
	const fleet = await startOutOfStep(3);
	const {origins} = fleet.lagging[0]!;
	t.not(origins.findGone(gone)?.retryAt, undefined);
	await fleet.pass(settleMs);
	t.not(origins.findGone(gone)?.retryAt, undefined);
	fleet.list(fleet.lagging, 'v1', 'v2');
	t.is(origins.findGone(gone), undefined);
});

test('a version that is gone by a list which is confirmed after a take-up is never said to be gone', async t => {
	const fleet = await startOutOfStep(3);
	const {origins} = fleet.lagging[0]!;
	t.not(origins.findGone(gone)?.retryAt, undefined);
	await fleet.pass(lagMs);
	fleet.confirm(fleet.lagging);
	t.deepEqual(origins.findGone(gone), {retryAt: undefined});
});

test('in an outage of the store, with a host of each hall dead, a take-up of a service with one version is refused', async t => {
	const fleet = createOriginFleet({halls: [3, 3, 2]});
	fleet.list(fleet.hosts, 'v1');
	await fleet.pass(settleMs);
	fleet.confirm(fleet.hosts);
	for (const host of fleet.hosts) {
		fleet.withoutStore.add(host);
	}

	for (const index of [1, 4, 6]) {
		fleet.dead.add(fleet.hosts[index]!);
	}

	await fleet.pass(settleMs);
	const found = await fleet.takeUp(fleet.hosts[0]!, keys);
	t.deepEqual(new Set(found.map(({type}) => type)), new Set(['single']));
});

test('all hosts but one were stopped a moment ago: a stream goes on at another version', async t => {
	const fleet = await startOutOfStep(5, {forMs: 0});
	fleet.cut.clear();
	fleet.dead.add(fleet.inStep[0]!);
	fleet.resume(fleet.lagging);
	t.deepEqual(await versionsOf(fleet), new Set(['v2']));
});

test('a host without the store, in a hall that is cut off, refuses a take-up although hosts of its hall reach the store', async t => {
	const fleet = createOriginFleet({halls});
	fleet.list(fleet.hosts, 'v1');
	await fleet.pass(settleMs);
	fleet.confirm(fleet.hosts);
	const [host, ...others] = fleet.hosts.slice(0, 3);
	for (const member of [host!, ...others]) {
		fleet.cut.add(member);
	}

	fleet.withoutStore.add(host!);
	await fleet.pass(lagMs);
	fleet.confirm(others);
	const [single] = await fleet.takeUp(host!, ['a']);
	t.like(single, {type: 'single', by: 'store'});
	const inStep = fleet.hosts.slice(3);
	await fleet.begin(inStep[0]!, 'v1', ['first']);
	fleet.list(inStep, 'v1', 'v2');
	await fleet.begin(inStep[0]!, 'v2', keys);
	fleet.confirm(others);
	const found = await fleet.takeUp(host!, keys);
	t.deepEqual(new Set(found.map(({type}) => type)), new Set(['unreadable']));
});
