import test from 'ava';
import {createAllocators} from '../lib/lending/create-allocators.js';

const hosts = (count: number) => Array.from({length: count}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));

const viewOf = (holder: string, count: number) => {
	const hallPeers = hosts(count);
	return createAllocators({holder, links: () => ({hallPeers: () => hallPeers, hallSize: () => count}), slotOf: () => 1});
};

test('in a small hall every host draws ahead for itself, and no host is a client of another', t => {
	const allocators = viewOf('edge-2#a', 3);
	t.true(allocators.drawsAhead('b'));
	t.false(allocators.isClient('edge-1#a', 'b'));
});

test('in a large hall one host draws ahead, one is its standby, and the other hosts are their clients', t => {
	const views = hosts(20).map(({holder}) => ({holder, allocators: viewOf(holder, 20)}));
	const ahead = views.filter(({allocators}) => allocators.drawsAhead('b'));
	const all = views.filter(({allocators}) => allocators.isAllocator('b'));
	t.is(ahead.length, 1);
	t.is(all.length, 2);
	const borrower = views.find(({allocators}) => !allocators.isAllocator('b'))!;
	t.deepEqual(borrower.allocators.others('b').map(({holder}) => holder)[0], ahead[0]!.holder);
	t.true(ahead[0]!.allocators.isClient(borrower.holder, 'b'));
	t.false(borrower.allocators.isClient(ahead[0]!.holder, 'b'));
});
