/** Guards against streams that go on at another version than the one that the store tells, after the death of all hosts. */
import test from 'ava';
import type {ServiceVersions} from '../adapter/service-versions.js';
import type {StoredOrigin} from '../adapter/stored-origin.js';
import {findStoredOrigin} from '../lib/stream-origins/stored/find-stored-origin.js';

const stored = (key: string, version: string, attempt: number): StoredOrigin => ({
	key, service: 's', version, attempt, keepMs: 1000,
});

const mixed: ServiceVersions = {service: 's', base: 'v1', versions: ['v1', 'v2', 'v3']};

/** Finds the origin of the stream `a`. `undefined` stands for what cannot be read. */
const find = async (services: readonly ServiceVersions[] | undefined, origins: readonly StoredOrigin[] | undefined) => {
	let reads = 0;
	const found = await findStoredOrigin('a', {services: services?.map(({service}) => service) ?? ['s'], likely: 's'}, {
		ledger: {readAgain: async () => services && {of: name => services.find(({service}) => service === name)}},
		async readAllOrigins() {
			reads++;
			return origins;
		},
	});
	return {found, reads};
};

test('an earlier attempt wins over the latest one', async t => {
	const attempts = [stored('a', 'v2', 1), stored('a', 'v3', 3), stored('a', 'v1', 2)];
	for (const origins of [attempts, [...attempts].reverse(), [attempts[1]!, attempts[0]!, attempts[2]!]]) {
		const {found} = await find([mixed], origins);
		t.deepEqual(found, {type: 'known', origin: {service: 's', version: 'v3', attempt: 3}, by: 'store'});
	}
});

test('the origin of another stream is taken for that of the stream', async t => {
	const {found} = await find([mixed], [stored('b', 'v2', 9), stored('', 'v3', 9)]);
	t.deepEqual(found, {type: 'known', origin: {service: 's', version: 'v1', attempt: 0}, by: 'base'});
});

test('a stream that began at another service than expected is taken for one of that', async t => {
	const {found} = await find([mixed], [{...stored('a', 'v2', 1), service: 'other'}]);
	t.deepEqual(found, {type: 'known', origin: {service: 'other', version: 'v2', attempt: 1}, by: 'store'});
});

test('a store that cannot be read is taken for one that has the base', async t => {
	const {found, reads} = await find(undefined, []);
	t.deepEqual(found, {type: 'unreadable'});
	t.is(reads, 0);
});

test('origins that cannot be read are taken for none, so that the stream is one of the base', async t => {
	const {found} = await find([mixed], undefined);
	t.deepEqual(found, {type: 'unreadable'});
});

test('a service that is not stored is taken for one with a single version', async t => {
	for (const services of [[], [{...mixed, service: 'other'}]]) {
		const {found} = await find(services, []);
		t.deepEqual(found, {type: 'unknown'});
	}
});

test('all origins are read for a service with a single version', async t => {
	const {found, reads} = await find([{service: 's', base: 'v1', versions: ['v1']}], undefined);
	t.deepEqual(found, {type: 'known', origin: {service: 's', version: 'v1', attempt: 0}, by: 'base'});
	t.is(reads, 0);
});

test('a stream that is stored is not found once its key falls to a service with one version', async t => {
	const single: ServiceVersions = {service: 'single', base: 'v9', versions: ['v9']};
	const found = await findStoredOrigin('a', {services: ['single', 's'], likely: 'single'}, {
		ledger: {readAgain: async () => ({of: name => [mixed, single].find(({service}) => service === name)})},
		readAllOrigins: async () => [stored('a', 'v2', 1)],
	});
	t.deepEqual(found, {type: 'known', origin: {service: 's', version: 'v2', attempt: 1}, by: 'store'});
});
