import test from 'ava';
import {rankBankers} from '../lib/rank-bankers.js';

const hosts = (count: number, life = 'a') => Array.from({length: count}, (_, index) => ({holder: `edge-${index}#${life}`, address: `10.0.0.${index}:1`, hall: 'h'}));

test('in a small hall every host draws for itself', t => {
	t.is(rankBankers('budget', hosts(3)).length, 3);
});

test('in a large hall few hosts draw, the same whoever asks', t => {
	const bankers = rankBankers('budget', hosts(40));
	t.is(bankers.length, 4);
	t.deepEqual(rankBankers('budget', hosts(40).reverse()), bankers);
});

test('a restart changes no place', t => {
	const before = rankBankers('budget', hosts(40, 'a')).map(({address}) => address);
	t.deepEqual(rankBankers('budget', hosts(40, 'b')).map(({address}) => address), before);
});

test('a host that goes moves only its own place', t => {
	const before = rankBankers('budget', hosts(40));
	const after = rankBankers('budget', hosts(40).filter(({holder}) => holder !== before[0]!.holder));
	t.deepEqual(after.slice(0, 3), before.slice(1));
});
