/** Guards against names of organisations and endpoints that end the host with the first request that has to carry them. */
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {isSendableName} from '../adapter/is-sendable-name.js';
import {isHeaderValue} from '../lib/sending/is-header-value.js';
import {toHeaderValue} from '../lib/sending/to-header-value.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

/** Sends one request of an organisation to an endpoint, and returns the two names as the endpoint got them. */
const namesAtEndpoint = async (t: ExecutionContext, organisation: string, instance: string) => {
	const endpoint = await startEndpoint('e0', (_req, res) => {
		res.end('fine');
	});
	const host = await startHost(createMemoryRightsStore());
	host.entry.configure(makeConfig({organisationsByKey: new Map([['key', {name: organisation, limit: undefined, priority: undefined}]])}));
	host.entry.listEndpoints([{...endpoint.listed, instance}]);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	const {status} = await callHost(host.callers);
	const headers = endpoint.seen[0]?.headers ?? {};
	const [seenOrganisation, seenInstance] = [headerNames.organisation, headerNames.expectedEndpoint].map(name => Buffer.from(String(headers[name]), 'latin1').toString());
	return {status, organisation: seenOrganisation, instance: seenInstance};
};

for (const name of ['Dvo\u0159\u00E1k', 'M\u00FCller', '\u7A0E\u7406\u58EB', 'plain-1']) {
	test(`the organisation ${name} ends the host, or reaches the endpoint as another one`, async t => {
		const names = await namesAtEndpoint(t, name, 'i-1');
		t.deepEqual(names, {status: 200, organisation: name, instance: 'i-1'});
	});

	test(`an endpoint with the name ${name} ends the host, or is asked for by another one`, async t => {
		const names = await namesAtEndpoint(t, 'org', name);
		t.deepEqual(names, {status: 200, organisation: 'org', instance: name});
	});
}

test('a name that can be sent ends the host, or is read as another name', t => {
	const text = fc.oneof(fc.string({unit: 'binary'}), fc.string(), fc.constantFrom(' a', 'a\t', 'a b', '\uD800', 'a\0', 'a\n', 'a\u007F', ''));
	fc.assert(fc.property(text, name => {
		const value = toHeaderValue(name);
		return !isSendableName(name) || (isHeaderValue(value) && Buffer.from(value.replaceAll(/^[\t ]+|[\t ]+$/g, ''), 'latin1').toString() === name);
	}));
	t.deepEqual([' a', 'a\t', '\uD800', 'a\0', 'a\n', 'a\u007F'].filter(name => isSendableName(name)), []);
	t.deepEqual(['a b', 'constructor', 'Dvo\u0159\u00E1k'].filter(name => !isSendableName(name)), []);
});
