import test from 'ava';
import {createEndpointChooser} from '../lib/choice/create-endpoint-chooser.js';
import {createEndpointEnds} from '../lib/choice/create-endpoint-ends.js';

const endpointOf = (id: string) => ({
	id, instance: id, hall: 'hall-a', address: '10.0.0.1:1', serves: ['s'], slots: 1, isLeaving: false,
});

/** Creates two hosts; what the first one finds ended is reported to the second one by `report`. */
const createHosts = () => {
	const clock = {now: 1000};
	const told: string[] = [];
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const createHost = () => {
		const chooser = createEndpointChooser({hall: 'hall-a', isUnreachable: () => false, now: () => clock.now});
		const ends = createEndpointEnds({
			chooser,
			tellPeers(endpoint) {
				told.push(endpoint);
			},
			log(event, fields) {
				lines.push({event, ...fields});
			},
			now: () => clock.now,
		});
		chooser.list([endpointOf('a'), endpointOf('b')]);
		return {
			chooser, ends, choose: (tried: readonly string[] = []) => chooser.choose({
				service: 's', parts: [], tried, avoidedHalls: [], regions: [],
			})?.endpoint.id,
		};
	};

	return {
		clock, told, lines, finder: createHost(), peer: createHost(),
	};
};

// Each host found out alone, at the expense of a caller.
test('peers send requests to an endpoint that a host of their hall found ended', t => {
	const {clock, told, lines, finder, peer} = createHosts();
	finder.ends.noteEnded('a', 'misdirected');
	t.deepEqual(told, ['a']);
	t.is(finder.choose(), 'b');
	t.is(peer.choose(), 'a');
	peer.ends.noteReported('a');
	t.is(peer.choose(), 'b');
	t.deepEqual(lines, [{event: 'endpoint_ended', endpoint: 'a', how: 'misdirected'}, {event: 'endpoint_ended', endpoint: 'a', how: 'reported'}]);

	clock.now += 15_000;
	t.is(peer.choose(), 'a', 'a false report takes an endpoint for good');
});

test('each request that meets an ended endpoint is told to peers, or one after the first does not keep requests away', t => {
	const {clock, told, lines, finder} = createHosts();
	finder.ends.noteEnded('a', 'crashed');
	clock.now += 14_000;
	finder.ends.noteEnded('a', 'misdirected');
	t.deepEqual(told, ['a']);
	t.is(lines.length, 1);
	clock.now += 14_000;
	t.is(finder.choose(), 'b');
});

// A host that was cut off from the store for nine seconds kept its list, and sent requests to each ended endpoint again every five seconds.
test('an endpoint whose address another process has gets requests again while an old list contains it', t => {
	const {clock, finder} = createHosts();
	finder.ends.noteEnded('a', 'misdirected');
	clock.now += 599_999;
	t.is(finder.choose(), 'b');
	finder.chooser.list([endpointOf('a'), endpointOf('b')]);
	t.is(finder.choose(), 'b');
	clock.now += 1;
	t.is(finder.choose(), 'a', 'a wrong answer of an endpoint takes it for good');
});

test('a report is passed on to further peers', t => {
	const {told, peer} = createHosts();
	peer.ends.noteReported('a');
	t.deepEqual(told, []);
});

test('a report of an endpoint that this host does not list changes anything', t => {
	const {peer} = createHosts();
	peer.ends.noteReported('unknown');
	t.is(peer.choose(), 'a');
	t.is(peer.choose(['a']), 'b');
});
