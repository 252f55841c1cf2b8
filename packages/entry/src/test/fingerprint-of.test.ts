import test from 'ava';
import {fingerprintOf} from '../lib/request/fingerprint-of.js';

test('a request is the same when it comes again, and another one when anything of it differs', t => {
	const request = {
		method: 'POST', host: 'h', path: '/p?a=1', caller: 'org', body: new TextEncoder().encode('body'),
	};
	const name = fingerprintOf(request);
	t.is(fingerprintOf({...request}), name);
	const others = [{method: 'PUT'}, {host: 'i'}, {path: '/p?a=2'}, {caller: 'other'}, {caller: undefined}, {body: new TextEncoder().encode('bodx')}];
	t.is(new Set([name, ...others.map(change => fingerprintOf({...request, ...change}))]).size, others.length + 1);
});
