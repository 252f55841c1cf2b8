import test from 'ava';
import {decideRightsSource} from '../lib/rights/decide-rights-source.js';
import type {RightsSource} from '../lib/rights/rights-source.js';

const open = {
	lastSource: undefined, isRetiring: false, isAllocator: false, hasReachedStore: false, mayDraw: true,
};

/** The sources that a request goes through when none has enough. */
const path = (change: Partial<typeof open>): readonly RightsSource[] => {
	const tried: RightsSource[] = [];
	for (;;) {
		const source = decideRightsSource({...open, ...change, lastSource: tried.at(-1)});
		if (source === undefined) {
			return tried;
		}

		tried.push(source);
	}
};

test('a host that borrows asks allocators first, then draws itself, then asks holders', t => {
	t.deepEqual(path({}), ['allocators', 'store', 'holders']);
	t.deepEqual(path({isAllocator: true}), ['store', 'holders']);
});

test('no draw beside an allocator that reaches the store, nor where it can bring nothing', t => {
	t.deepEqual(path({hasReachedStore: true}), ['allocators', 'holders']);
	t.deepEqual(path({mayDraw: false}), ['allocators', 'holders']);
});

test('a host that stops borrows nothing more', t => {
	t.deepEqual(path({isRetiring: true, mayDraw: false}), []);
});
