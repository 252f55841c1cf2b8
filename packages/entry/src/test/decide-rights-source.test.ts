import test from 'ava';
import {decideRightsSource} from '../lib/rights/decide-rights-source.js';
import type {RightsSource} from '../lib/rights/rights-source.js';

const inputs = {
	lastSource: undefined, isRetiring: false, isAllocator: false, hasReachedStore: false, mayDraw: true,
};

/** The sources that are tried for a request when none of them has enough. */
const triedSources = (change: Partial<typeof inputs>): readonly RightsSource[] => {
	const tried: RightsSource[] = [];
	for (;;) {
		const source = decideRightsSource({...inputs, ...change, lastSource: tried.at(-1)});
		if (source === undefined) {
			return tried;
		}

		tried.push(source);
	}
};

test('a borrowing host asks allocators first, then draws from the store, then asks holders', t => {
	t.deepEqual(triedSources({}), ['allocators', 'store', 'holders']);
	t.deepEqual(triedSources({isAllocator: true}), ['store', 'holders']);
});

test('a host does not draw if an allocator has reached the store or if a draw can bring nothing', t => {
	t.deepEqual(triedSources({hasReachedStore: true}), ['allocators', 'holders']);
	t.deepEqual(triedSources({mayDraw: false}), ['allocators', 'holders']);
});

test('a host that shuts down borrows nothing more', t => {
	t.deepEqual(triedSources({isRetiring: true, mayDraw: false}), []);
});
