import test from 'ava';
import {fingerprintOf} from '../lib/request/fingerprint-of.js';

test('a retried request has the same fingerprint, and a request that differs in any part has another one', t => {
	const request = {
		method: 'POST', hostHeader: 'h', path: '/p?a=1', organisation: 'org', body: new TextEncoder().encode('body'),
	};
	const fingerprint = fingerprintOf(request);
	t.is(fingerprintOf({...request}), fingerprint);
	const others = [{method: 'PUT'}, {hostHeader: 'i'}, {path: '/p?a=2'}, {organisation: 'other'}, {organisation: undefined}, {body: new TextEncoder().encode('bodx')}];
	t.is(new Set([fingerprint, ...others.map(change => fingerprintOf({...request, ...change}))]).size, others.length + 1);
});
