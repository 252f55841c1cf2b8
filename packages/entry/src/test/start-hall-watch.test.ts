import test from 'ava';
import {startHallMonitor} from '../lib/hall-health/start-hall-monitor.js';

const endpoint = (id: string, hall: string) => ({
	id, instance: id, hall, address: `10.0.0.1:${id}`, serves: ['s'], slots: 1, isLeaving: false,
});

test('when a hall is lost, requests that wait there and may run elsewhere are told; those of other halls are not', async t => {
	const told: string[] = [];
	const probed: string[] = [];
	const halls = startHallMonitor({
		hall: 'a',
		async probe(address) {
			probed.push(address);
			return false;
		},
		isOverloaded: () => false,
		log: () => undefined,
		now: () => performance.now(),
	});
	t.teardown(halls.close);
	const near = endpoint('1', 'a');
	const far = endpoint('2', 'b');
	const gone = {...endpoint('3', 'b'), isLeaving: true};
	halls.list([near, far, gone]);
	halls.noteAttempt({
		endpoint: near, sentAt: 0, abandon() {
			told.push(near.id);
		},
	});
	halls.noteAttempt({endpoint: far, sentAt: 0});
	await new Promise<void>(resolve => {
		halls.noteAttempt({
			endpoint: far, sentAt: 0, abandon() {
				told.push(far.id);
				resolve();
			},
		});
	});
	t.deepEqual(told, ['2']);
	t.true(halls.isUnreachable('b'));
	t.false(halls.isUnreachable('a'));
	t.true(probed.every(address => address === far.address));
});
