/** Guards against organisations named like a member of every object, such as `constructor`: they ended every host, or their budget was counted wrongly. */
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {unallocated, type HolderRights, type RightsObject} from '@deckwheel/ledger';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {findStrandedRights} from '../lib/rights-store/find-stranded-rights.js';
import {mergeRestored} from '../lib/rights-store/merge-restored.js';
import {planSlotWrite} from '../lib/rights-store/plan-slot-write.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore, type MemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const memberNames = ['constructor', 'toString', 'hasOwnProperty', 'valueOf', 'isPrototypeOf', '__proto__', '__defineGetter__'];

const limit = 1000;

/** Starts a host with the organisation `org`, then adds another one by a newer version of the configuration. */
const startWithNew = async (t: ExecutionContext, name: string) => {
	const store = createMemoryRightsStore();
	const endpoint = await startEndpoint('e0', (_req, res) => {
		res.end('fine');
	});
	const host = await startHost(store);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	const known = ['key', {name: 'org', limit, priority: undefined}] as const;
	host.entry.configure(makeConfig({organisationsByKey: new Map([known])}));
	host.entry.listEndpoints([endpoint.listed]);
	const call = async (key: string) => callHost(host.callers, {headers: {[headerNames.apiKey]: key, [headerNames.tokenCount]: '100,20'}});
	await call('key');
	host.entry.configure(makeConfig({version: 2, organisationsByKey: new Map([known, ['new', {name, limit, priority: undefined}]])}));
	return {store, call};
};

const recordOf = ({objects}: MemoryRightsStore, budget: string) =>
	[...objects.values()].flatMap(({rights}) => Object.entries(rights.budgets)).find(([name]) => name === budget)?.[1];

for (const name of memberNames) {
	test(`a new organisation named ${name} ends the host, or is not served beside the others`, async t => {
		const {store, call} = await startWithNew(t, name);
		const answers = await Promise.all(['new', 'key', 'new'].map(async key => call(key)));
		t.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
		const record = recordOf(store, name);
		t.like(record, {organisation: name, limit});
		t.true(unallocated(record!) >= 0);
	});
}

/** Renames a budget in an object of rights, or in whatever names budgets. */
const rename = <T>(value: T, name: string): T => JSON.parse(JSON.stringify(value).replaceAll('"some-budget"', JSON.stringify(name))) as T;

const holderRights = fc.record({
	epoch: fc.constant(0),
	granted: fc.nat(500),
	transferred: fc.constant(0),
	rate: fc.constant(0),
	settled: fc.nat(500),
	billed: fc.nat(500),
	written: fc.record({era: fc.nat(2), sequence: fc.nat(5)}),
}) satisfies fc.Arbitrary<HolderRights>;

const rightsObject: fc.Arbitrary<RightsObject> = fc.record({
	budgets: fc.dictionary(fc.constantFrom('some-budget', 'other'), fc.record({
		organisation: fc.constant('some-budget'),
		limit: fc.constant(limit),
		limitVersion: fc.nat(3),
		topUps: fc.constant([]),
		holders: fc.dictionary(fc.constantFrom('h#1', 'h#2', 'g#1', 'retired'), holderRights, {noNullPrototype: true}),
	}), {noNullPrototype: true}),
});

/** Plans a write of a host that has the budget in its configuration. */
const plan = (rights: RightsObject, budget: string) => {
	const planned = planSlotWrite({
		host: 'h',
		holder: 'h#2',
		rights,
		limits: new Map([[budget, limit], ['other', limit]]),
		version: 3,
		era: 2,
		accountOf: () => emptyHostAccount,
		isEntryNeeded: () => true,
		drawAmountOf: () => () => 10,
	});
	return planned.type === 'write' ? {...planned, rest: [...planned.rest]} : planned;
};

test('what is decided on a budget depends on its name', t => {
	fc.assert(fc.property(rightsObject, rightsObject, fc.constantFrom(...memberNames), (before, found, name) => {
		t.deepEqual(mergeRestored(rename(before, name), rename(found, name), 2), rename(mergeRestored(before, found, 2), name));
		t.deepEqual(findStrandedRights(rename(before, name), rename(found, name)), rename(findStrandedRights(before, found), name));
		t.deepEqual(plan(rename(before, name), name), rename(plan(before, 'some-budget'), name));
	}), {numRuns: 300, seed: 71});
});
