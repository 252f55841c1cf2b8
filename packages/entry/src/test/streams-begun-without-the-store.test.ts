/** Guards against streams that go on at another software version since the store took no writes when they began, and all hosts died before it did. */
import test from 'ava';
import {takeUpAfterDeaths} from './lib/take-up-after-deaths.js';

test('streams that began while the store was away go on at another version once all hosts have died', async t => {
	const {begun, crossed} = await takeUpAfterDeaths(t, ({faults}) => {
		faults.isDown = true;
		return () => {
			faults.isDown = false;
		};
	});
	t.deepEqual(crossed, []);
	t.true(begun.some(first => first?.data === 'v2'), 'streams of the later version');
});
