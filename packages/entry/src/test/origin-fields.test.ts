import test from 'ava';
import {originFields} from '../lib/request/origin-fields.js';

const begunBy = {
	id: 'e', instance: 'e', address: 'e:1', hall: 'a', serves: ['s'], slots: 1, isLeaving: false, version: 'v2',
};

test('the version that goes on with a stream is logged as the one that began it', t => {
	const origin = {service: 's', version: 'v1', attempt: 1};
	t.deepEqual(originFields({origin: undefined, begunBy}), {begun_version: 'v2'});
	t.deepEqual(originFields({
		origin: {
			type: 'single', version: 'v1', by: 'peers', listAgeMs: 12.4,
		}, begunBy,
	}), {origin: 'single', single_by: 'peers', list_age_ms: 12});
	t.deepEqual(originFields({origin: {type: 'unknown'}, begunBy: undefined}), {origin: 'unknown'});
	t.deepEqual(originFields({
		origin: {
			type: 'known', origin, by: 'peer', from: 'a:1', ageMs: 12.4,
		}, begunBy,
	}), {
		begun_version: 'v1', origin: 'peer', origin_from: 'a:1', origin_age_ms: 12,
	});
});
