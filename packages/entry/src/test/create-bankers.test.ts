import test from 'ava';
import {createBankers} from '../lib/create-bankers.js';

const hosts = (count: number) => Array.from({length: count}, (_, index) => ({holder: `edge-${index}#a`, address: `10.0.0.${index}:1`, hall: 'h'}));

const viewOf = (holder: string, count: number) => {
	const hallPeers = hosts(count);
	return createBankers({holder, links: () => ({hallPeers: () => hallPeers, hallSize: () => count}), slotOf: () => 1});
};

test('in a small hall every host draws ahead for itself, and nobody is anybody\'s client', t => {
	const bankers = viewOf('edge-2#a', 3);
	t.true(bankers.drawsAhead('b'));
	t.false(bankers.isClient('edge-1#a', 'b'));
});

test('in a large hall one host draws ahead, one stands by, and the others are their clients', t => {
	const views = hosts(20).map(({holder}) => ({holder, bankers: viewOf(holder, 20)}));
	const ahead = views.filter(({bankers}) => bankers.drawsAhead('b'));
	const all = views.filter(({bankers}) => bankers.isBanker('b'));
	t.is(ahead.length, 1);
	t.is(all.length, 2);
	const borrower = views.find(({bankers}) => !bankers.isBanker('b'))!;
	t.deepEqual(borrower.bankers.others('b').map(({holder}) => holder)[0], ahead[0]!.holder);
	t.true(ahead[0]!.bankers.isClient(borrower.holder, 'b'));
	t.false(borrower.bankers.isClient(ahead[0]!.holder, 'b'));
});
