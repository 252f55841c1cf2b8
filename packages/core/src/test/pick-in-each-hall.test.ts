import test from 'ava';
import {pickInEachHall} from '../pick-in-each-hall.js';

const hosts = Array.from({length: 12}, (_, index) => ({address: `h${index}:1`, hall: `hall-${index % 3}`}));

const addressesOf = (picked: ReadonlyArray<{readonly address: string}>): readonly string[] => picked.map(({address}) => address).sort();

test('a hall has none of the hosts picked, or more than asked for', t => {
	const picked = pickInEachHall('key', hosts, 2);
	for (const hall of ['hall-0', 'hall-1', 'hall-2']) {
		t.is(picked.filter(host => host.hall === hall).length, 2);
	}
});

test('hosts that know the others in another order pick others, or a host that is lost moves more than its own place', t => {
	const picked = pickInEachHall('key', hosts, 2);
	t.deepEqual(addressesOf(pickInEachHall('key', [...hosts].reverse(), 2)), addressesOf(picked));
	const [lost, ...rest] = picked;
	const without = pickInEachHall('key', hosts.filter(host => host !== lost), 2);
	t.true(rest.every(host => without.includes(host)));
});
