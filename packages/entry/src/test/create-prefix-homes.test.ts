import test from 'ava';
import {createPrefixHomes} from '../lib/choice/create-prefix-homes.js';

const endpointCount = 32;
const counts = {endpointCount, minRanked: 4, paceOf: () => 1};

const startHomes = () => {
	let now = 0;
	const homes = createPrefixHomes(() => now);
	homes.list(Array.from({length: endpointCount}, (_, index) => ({
		id: `e${index}`, instance: `e${index}`, hall: 'a', address: '', serves: ['s'], slots: 8, isLeaving: false,
	})));
	return {
		homes,
		/** Notes requests over ten seconds, one in `every` of them for a prompt with the part. */
		noteRequests(part: string, every: number) {
			for (let index = 0; index < 100; index++) {
				now += 100;
				homes.noteRequest('s', index % every === 0 ? part : undefined);
			}
		},
		advance(ms: number) {
			now += ms;
		},
	};
};

test('a rare part has one home, the first of the ranked endpoints, and the same one at each host', t => {
	const one = startHomes();
	const other = startHomes();
	one.noteRequests('p', 100);
	const {homes, ranked} = one.homes.homesOf('s', 'p', counts);
	t.deepEqual(homes, ranked.slice(0, 1));
	t.is(ranked.length, counts.minRanked);
	t.deepEqual(other.homes.homesOf('s', 'p', counts), {homes, ranked});
	t.deepEqual(one.homes.firstOf('s', 'p'), {homes, ranked: homes});
});

// Guards against a hot part whose requests all go to one endpoint until its load is reported.
test('a part of a quarter of all requests has a quarter of the endpoints as homes, and one again once it is no longer asked for', t => {
	const host = startHomes();
	host.noteRequests('p', 4);
	const {homes, ranked} = host.homes.homesOf('s', 'p', counts);
	t.is(homes.length, endpointCount / 4);
	t.deepEqual(homes, ranked);
	host.advance(60_000);
	host.noteRequests('other', 4);
	t.is(host.homes.homesOf('s', 'p', counts).homes.length, 1);
});

// Guards against several parts with the same first endpoint, which would stay busier than all others.
test('an endpoint that is usually much busier than others is no home, until it is no longer', t => {
	const host = startHomes();
	const {ranked} = host.homes.homesOf('s', 'p', counts);
	const noteOpen = (openAtFirst: number): void => {
		for (let index = 0; index < 300; index++) {
			host.advance(50);
			host.homes.noteOpen('s', ranked[0]!, openAtFirst);
			for (const endpoint of ['x', 'y', 'z', ranked[1]!]) {
				host.homes.noteOpen('s', endpoint, 2);
			}
		}
	};

	noteOpen(9);
	t.deepEqual(host.homes.homesOf('s', 'p', counts).homes, [ranked[1]]);
	t.deepEqual(host.homes.homesOf('s', 'p', counts).ranked, ranked);
	noteOpen(2);
	t.deepEqual(host.homes.homesOf('s', 'p', counts).homes, [ranked[0]]);
});

test('one short peak of load moves no home', t => {
	const host = startHomes();
	const {ranked} = host.homes.homesOf('s', 'p', counts);
	for (const endpoint of ranked) {
		host.homes.noteOpen('s', endpoint, 2);
	}

	for (let ms = 0; ms < 600; ms += 50) {
		host.advance(50);
		host.homes.noteOpen('s', ranked[0]!, 6);
		host.homes.noteOpen('s', ranked[1]!, 2);
	}

	t.deepEqual(host.homes.homesOf('s', 'p', counts).homes, [ranked[0]]);
});

// A third of the endpoints were 2.4 times as slow as the others. Prompts at home there were read anew at faster ones.
test('a slow endpoint is the home of a part although a faster one is ranked', t => {
	const host = startHomes();
	const {ranked} = host.homes.homesOf('s', 'p', counts);
	const withSlow = (slow: readonly string[]) => host.homes.homesOf('s', 'p', {...counts, paceOf: id => slow.includes(id) ? 2.4 : 1});
	t.deepEqual(withSlow(ranked.slice(0, 1)).homes, [ranked[1]]);
	t.deepEqual(withSlow(ranked).homes, [ranked[0]]);
});
