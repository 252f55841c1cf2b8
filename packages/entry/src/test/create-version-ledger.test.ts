/** Guards against a base version in the store that is not the one at which the streams without a stored origin began. */
import test from 'ava';
import type {ServiceVersions} from '../adapter/service-versions.js';
import {scheduleByTimer} from '../lib/host/schedule-by-timer.js';
import {createVersionLedger} from '../lib/stream-origins/stored/create-version-ledger.js';
import {mergeRestoredVersions} from '../lib/stream-origins/stored/merge-restored-versions.js';
import {planServiceVersions} from '../lib/stream-origins/stored/plan-service-versions.js';
import {createFaultyOriginStore, type FaultyOriginStore} from './lib/create-faulty-origin-store.js';

const versionsOf = (base: string, ...others: readonly string[]): ServiceVersions => ({service: 's', base, versions: [base, ...others]});

const startLedger = (faulty: FaultyOriginStore = createFaultyOriginStore()) => {
	const named: string[] = [];
	const host = {isSettled: false, listed: ['v1', 'v2']};
	const ledger = createVersionLedger({
		store: faulty.store,
		readGapMs: 0,
		schedule: scheduleByTimer,
		now: () => 0,
		onNamed(service, version) {
			named.push(`${service} ${version}`);
		},
		isSettled: () => host.isSettled,
		isListed: (_service, version) => host.listed.includes(version),
	});
	return {
		...faulty,
		ledger,
		named,
		host,
		list(...versions: readonly string[]) {
			host.listed = [...versions];
			ledger.noteListed();
		},
		inStore: async (service = 's') => (await faulty.memory.readVersions())!.services.find(entry => entry.service === service),
	};
};

/** Starts the ledger of a further host of the same store. */
const startFurther = ({memory}: FaultyOriginStore) => startLedger(createFaultyOriginStore(memory));

for (const isSettled of [false, true]) {
	test(`the first version of a service is not its base, with isSettled=${isSettled}`, t => {
		t.deepEqual(planServiceVersions(undefined, {service: 's', version: 'v1', isSettled}), versionsOf('v1'));
	});

	test(`a base that is stored is written again, with isSettled=${isSettled}`, t => {
		t.is(planServiceVersions(versionsOf('v1'), {service: 's', version: 'v1', isSettled}), undefined);
	});
}

test('the base changes while streams of another version may be taken up', t => {
	t.deepEqual(planServiceVersions(versionsOf('v1'), {service: 's', version: 'v2', isSettled: false}), versionsOf('v1', 'v2'));
	t.deepEqual(planServiceVersions(versionsOf('v1', 'v2'), {service: 's', version: 'v3', isSettled: false}), versionsOf('v1', 'v2', 'v3'));
	t.is(planServiceVersions(versionsOf('v1', 'v2'), {service: 's', version: 'v2', isSettled: false}), undefined);
});

test('the base does not change, or versions stay named, once no stream of another version can be taken up', t => {
	t.deepEqual(planServiceVersions(versionsOf('v1', 'v2'), {service: 's', version: 'v2', isSettled: true}), versionsOf('v2'));
	t.deepEqual(planServiceVersions(versionsOf('v1', 'v2'), {service: 's', version: 'v1', isSettled: true}), versionsOf('v1'));
	t.deepEqual(planServiceVersions(versionsOf('v1'), {service: 's', version: 'v2', isSettled: true}), versionsOf('v2'));
});

test('a host changes the base while it knows that streams of another version may be taken up', async t => {
	const {ledger, host, inStore} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	t.deepEqual(await ledger.ensureNamed('s', 'v2'), versionsOf('v1', 'v2'));
	t.deepEqual(await inStore(), versionsOf('v1', 'v2'));
	host.isSettled = true;
	t.deepEqual(await ledger.ensureNamed('s', 'v2'), versionsOf('v2'));
	t.deepEqual(await inStore(), versionsOf('v2'));
	t.deepEqual(ledger.trusted('s'), versionsOf('v2'));
});

test('a service loses its versions when another one is named', async t => {
	const {ledger, inStore} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	await ledger.ensureNamed('other', 'v2');
	t.deepEqual(await inStore(), versionsOf('v1'));
	t.deepEqual(await inStore('other'), {service: 'other', base: 'v2', versions: ['v2']});
});

test('two hosts that name different versions at once drop one', async t => {
	const one = startLedger();
	const other = startFurther(one);
	const [first, second] = await Promise.all([one.ledger.ensureNamed('s', 'v1'), other.ledger.ensureNamed('s', 'v2')]);
	const stored = await one.inStore();
	t.deepEqual([...stored!.versions].sort(), ['v1', 'v2']);
	t.is(new Set([first!.base, second!.base, stored!.base]).size, 1);
});

test('a version that another host names between the read and the write of a host is dropped', async t => {
	const one = startLedger();
	const other = startFurther(one);
	one.beforeNextNaming(async () => other.ledger.ensureNamed('s', 'v2'));
	t.deepEqual(await one.ledger.ensureNamed('s', 'v1'), versionsOf('v2', 'v1'));
	t.deepEqual(await one.inStore(), versionsOf('v2', 'v1'));
});

test('one host that names two versions at once drops one', async t => {
	const {ledger, inStore} = startLedger();
	await Promise.all([ledger.ensureNamed('s', 'v1'), ledger.ensureNamed('s', 'v2')]);
	const stored = await inStore();
	t.deepEqual([...stored!.versions].sort(), ['v1', 'v2']);
});

test('streams that name the same version at once cost a write each', async t => {
	const {ledger, memory} = startLedger();
	await Promise.all(Array.from({length: 50}, async () => ledger.ensureNamed('s', 'v1')));
	await ledger.ensureNamed('s', 'v1');
	t.is(memory.calls(), 2);
});

test('a version that another host named is not told, or one is told twice, or the own one is told', async t => {
	const one = startLedger();
	const other = startFurther(one);
	await one.ledger.ensureNamed('s', 'v1');
	await other.ledger.ensureNamed('s', 'v2');
	await other.ledger.readAgain();
	t.deepEqual(one.named, []);
	t.deepEqual(other.named, ['s v1']);
	await one.ledger.readAgain();
	t.deepEqual(one.named, ['s v2']);
});

test('a host trusts a base that is no longer listed', async t => {
	const {ledger, list} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	t.deepEqual(ledger.trusted('s'), versionsOf('v1'));
	list('v2');
	t.is(ledger.trusted('s'), undefined);
});

test('a host goes on trusting a base that left its list and returned, while another host changed it', async t => {
	const one = startLedger();
	const other = startFurther(one);
	await one.ledger.ensureNamed('s', 'v1');
	one.list('v2');
	other.host.isSettled = true;
	await other.ledger.ensureNamed('s', 'v2');
	one.list('v1', 'v2');
	t.is(one.ledger.trusted('s'), undefined);
	t.deepEqual(await one.ledger.ensureNamed('s', 'v1'), versionsOf('v2', 'v1'));
	t.deepEqual(await one.inStore(), versionsOf('v2', 'v1'));
	t.deepEqual(one.ledger.trusted('s'), versionsOf('v2', 'v1'));
});

test('a base that left the list and returned unchanged is not trusted again', async t => {
	const {ledger, list} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	list('v2');
	list('v1');
	t.deepEqual(await ledger.ensureNamed('s', 'v1'), versionsOf('v1'));
	t.deepEqual(ledger.trusted('s'), versionsOf('v1'));
});

test('a host that has just read trusts a base that it does not list', async t => {
	const one = startLedger();
	const other = startFurther(one);
	await one.ledger.ensureNamed('s', 'v1');
	other.list('v2');
	t.true(await other.ledger.ensureRead());
	t.is(other.ledger.trusted('s'), undefined);
});

test('a store that cannot be read is taken for an empty one', async t => {
	const {ledger, memory, inStore} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	const fresh = startLedger(createFaultyOriginStore(memory));
	memory.faults.isDown = true;
	t.false(await fresh.ledger.ensureRead());
	t.is(await fresh.ledger.readAgain(), undefined);
	t.is(await fresh.ledger.ensureNamed('s', 'v2'), undefined);
	t.is(fresh.ledger.trusted('s'), undefined);
	memory.faults.isDown = false;
	t.deepEqual(await inStore(), versionsOf('v1'));
	t.deepEqual(await fresh.ledger.ensureNamed('s', 'v2'), versionsOf('v1', 'v2'));
});

test('a host that read the store forgets what it read while the store cannot be read', async t => {
	const {ledger, memory} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	memory.faults.isDown = true;
	t.is(await ledger.readAgain(), undefined);
	t.true(await ledger.ensureRead());
	t.deepEqual(ledger.trusted('s'), versionsOf('v1'));
	t.deepEqual(await ledger.ensureNamed('s', 'v1'), versionsOf('v1'));
});

test('a service that is not stored is found in a store that was read', async t => {
	const {ledger} = startLedger();
	const read = await ledger.readAgain();
	t.truthy(read);
	t.is(read!.of('s'), undefined);
});

test('after a restore from an older copy the base is the older one', async t => {
	const {ledger, memory, host, inStore} = startLedger();
	await ledger.ensureNamed('s', 'v1');
	const copy = memory.copy();
	host.isSettled = true;
	await ledger.ensureNamed('s', 'v2');
	memory.restore(copy);
	ledger.noteRestored();
	t.is(ledger.trusted('s'), undefined);
	const read = await ledger.readAgain();
	t.is(read!.of('s')!.base, 'v2');
	t.is((await inStore())!.base, 'v2');
});

test('after a restore from an older copy versions are missing', async t => {
	const {ledger, memory, inStore} = startLedger();
	const copy = memory.copy();
	await ledger.ensureNamed('s', 'v1');
	await ledger.ensureNamed('s', 'v2');
	memory.restore(copy);
	ledger.noteRestored();
	t.deepEqual(await ledger.ensureNamed('s', 'v1'), versionsOf('v1', 'v2'));
	t.deepEqual(await inStore(), versionsOf('v1', 'v2'));
});

test('what was stored before a restore is forgotten while the store cannot be read, or at a second restore', async t => {
	const {ledger, memory, inStore} = startLedger();
	const copy = memory.copy();
	await ledger.ensureNamed('s', 'v1');
	await ledger.ensureNamed('s', 'v2');
	memory.restore(copy);
	ledger.noteRestored();
	memory.faults.isDown = true;
	t.false(await ledger.ensureRead());
	memory.faults.isDown = false;
	ledger.noteRestored();
	t.true(await ledger.ensureRead());
	t.deepEqual(await inStore(), versionsOf('v1', 'v2'));
});

test('a restored store that lacks nothing is written', t => {
	t.is(mergeRestoredVersions([versionsOf('v1', 'v2')], [versionsOf('v1', 'v2')]), undefined);
	t.is(mergeRestoredVersions([versionsOf('v1', 'v3', 'v2')], [versionsOf('v1', 'v2')]), undefined);
	t.is(mergeRestoredVersions([versionsOf('v1')], []), undefined);
});

test('a restored store loses services that this host does not know, or the base of before', t => {
	const other = {service: 'other', base: 'v9', versions: ['v9']};
	t.deepEqual(mergeRestoredVersions([other, versionsOf('v1', 'v3')], [versionsOf('v2')]), [other, {service: 's', base: 'v2', versions: ['v2', 'v1', 'v3']}]);
	t.deepEqual(mergeRestoredVersions([], [versionsOf('v2')]), [versionsOf('v2')]);
});

test('a version that is named when a restore is noticed becomes the base', async t => {
	const {ledger, memory, beforeNextNaming, inStore} = startLedger();
	const copy = memory.copy();
	await ledger.ensureNamed('s', 'v1');
	beforeNextNaming(() => {
		memory.restore(copy);
		ledger.noteRestored();
	});
	await ledger.ensureNamed('s', 'v2');
	t.is((await inStore())!.base, 'v1');
});

test('what was stored before a restore is lost when another host writes at the same moment', async t => {
	const one = startLedger();
	const copy = one.memory.copy();
	await one.ledger.ensureNamed('s', 'v1');
	one.memory.restore(copy);
	one.ledger.noteRestored();
	const other = startFurther(one);
	one.beforeNextNaming(async () => other.ledger.ensureNamed('other', 'v9'));
	await one.ledger.readAgain();
	t.deepEqual(await one.inStore('other'), {service: 'other', base: 'v9', versions: ['v9']});
	await one.ledger.ensureNamed('s', 'v2');
	t.deepEqual(await one.inStore(), versionsOf('v1', 'v2'));
});
