import test from 'ava';
import {rankAllocators} from '../lib/lending/rank-allocators.js';

const hosts = (count: number, incarnation = 'a') => Array.from({length: count}, (_, index) => ({holder: `edge-${index}#${incarnation}`, address: `10.0.0.${index}:1`, hall: 'h'}));

test('in a small hall every host is an allocator', t => {
	t.is(rankAllocators(1, hosts(4), 4).length, 4);
});

test('in a large hall two hosts are allocators, whatever the order of the list of peers', t => {
	const allocators = rankAllocators(1, hosts(40), 40);
	t.is(allocators.length, 2);
	t.deepEqual(rankAllocators(1, hosts(40).reverse(), 40), allocators);
});

test('restarts of hosts do not change the ranking of allocators', t => {
	const before = rankAllocators(1, hosts(40, 'a'), 40).map(({address}) => address);
	t.deepEqual(rankAllocators(1, hosts(40, 'b'), 40).map(({address}) => address), before);
});

test('when the first allocator is gone, its standby becomes the first', t => {
	const before = rankAllocators(1, hosts(40), 40);
	const after = rankAllocators(1, hosts(40).filter(({holder}) => holder !== before[0]!.holder), 40);
	t.is(after[0]!.holder, before[1]!.holder);
});
