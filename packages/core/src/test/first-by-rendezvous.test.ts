import test from 'ava';
import fc from 'fast-check';
import {firstByRendezvous} from '../first-by-rendezvous.js';
import {rankByRendezvous} from '../rank-by-rendezvous.js';

test('the member found is the first of the whole ranking', t => {
	fc.assert(fc.property(fc.string(), fc.uniqueArray(fc.string()), (key, members) => firstByRendezvous(key, members) === rankByRendezvous(key, members)[0]));
	t.is(firstByRendezvous('key', []), undefined);
});
