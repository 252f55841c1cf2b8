/** Guards against a stream that is found at the version of an attempt which brought its caller no event. */
import test from 'ava';
import {createStreamRecord} from '../lib/request/create-stream-record.js';
import type {StreamPlan} from '../lib/request/stream-plan.js';

const endpoint = {
	id: 'e', instance: 'e', address: 'e:1', hall: 'a', serves: ['s'], slots: 1, isLeaving: false, version: 'v1',
};

/** Returns the number under which the first attempt of a request is noted. */
const attemptOf = async (plan: StreamPlan): Promise<number> => {
	let noted = 0;
	await createStreamRecord(plan, 0, {
		async noteSent({origin: {attempt}}) {
			noted = attempt;
		},
		noteWhole: () => undefined,
		preferredVersion: () => undefined,
	}).noteSent(endpoint, 1);
	return noted;
};

test('the attempt of a take-up whose stream was not found comes before those of the request that it takes up', async t => {
	const first: StreamPlan = {type: 'any', service: 's', key: 'k'};
	t.is(await attemptOf(first), 1);
	t.true(await attemptOf({...first, found: {type: 'unreadable'}}) > 100);
	const origin = {service: 's', version: 'v1', attempt: 7};
	t.is(await attemptOf({
		type: 'resumed', key: 'k', origin, found: {
			type: 'known', origin, by: 'own', ageMs: 0,
		},
	}), 8);
});
