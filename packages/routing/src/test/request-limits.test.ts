import test from 'ava';
import {coordinatorsOf} from '../request-limits/coordinators-of.js';
import {permitRate} from '../request-limits/permit-rate.js';
import type {RequestLimit} from '../request-limits/request-limit.js';
import {stepRequestLimit} from '../request-limits/step-request-limit.js';
import {takeToken} from '../request-limits/take-token.js';
import type {TokenBucket} from '../request-limits/token-bucket.js';

/** Returns when tokens are taken from a new bucket by a caller that asks every 10 ms, in ms. */
const takeAll = (perSecond: number, endMs: number): readonly number[] => {
	let bucket: TokenBucket | undefined;
	const taken: number[] = [];
	for (let now = 0; now <= endMs; now += 10) {
		const result = takeToken(bucket, perSecond, now);
		({bucket} = result);
		if (result.isTaken) {
			taken.push(now);
		}
	}

	return taken;
};

test('a new bucket is empty, and hands out each token as soon as it is filled in', t => {
	t.deepEqual(takeAll(1, 3000), [1000, 2000, 3000]);
	const {nextAt} = takeToken({tokens: 0.5, perSecond: 2, countedAt: 0}, 2, 0);
	t.is(nextAt, 250);
});

test('an idle bucket holds at most the tokens of a quarter of a second, but at least one', t => {
	const idle: TokenBucket = {tokens: 0, perSecond: 1, countedAt: 0};
	t.is(takeToken(idle, 1, 60_000).bucket.tokens, 0);
	t.is(takeToken({...idle, perSecond: 40}, 40, 60_000).bucket.tokens, 9);
});

test('after a limit is lowered, a bucket does not fill at the higher rate for the time before', t => {
	const slow = takeToken({tokens: 0, perSecond: 40, countedAt: 0}, 1, 500);
	t.false(slow.isTaken);
	t.is(slow.bucket.tokens, 0.5);
});

test('after a suspension of the host, a bucket holds no more than its capacity', t => {
	t.is(takeToken({tokens: 1, perSecond: 4, countedAt: 0}, 4, 600_000).bucket.tokens, 0);
});

test('both coordinators together exceed the limit by a quarter at most, and other hosts hand out no permits', t => {
	for (const limit of [0.3, 1, 7, 500]) {
		t.true(permitRate(limit, 0) + permitRate(limit, 1) <= limit * 1.25);
		t.is(permitRate(limit, 0), limit);
		t.is(permitRate(limit, 2), 0);
		t.is(permitRate(limit, -1), 0);
	}
});

test('an endpoint with a limit of 0 still gets one request in ten seconds, whose response shows when the limit ends', t => {
	t.is(permitRate(0, 0), 0.1);
});

const known: RequestLimit = {perSecond: 2, askedAt: 50, readAt: 100};

test('the limit that an endpoint stated last is in force, whether it is higher, lower or none', t => {
	t.is(stepRequestLimit(undefined, known), known);
	for (const perSecond of [undefined, 1, 5]) {
		const later = {perSecond, askedAt: 101, readAt: 130};
		t.is(stepRequestLimit(known, later), later);
		t.is(stepRequestLimit(later, known), later);
	}
});

test('when the order of two responses is unknown, the lower limit is in force', t => {
	const lower = {perSecond: 1, askedAt: 10, readAt: 60};
	t.is(stepRequestLimit(known, lower), lower);
	t.is(stepRequestLimit(lower, known), lower);
	for (const perSecond of [undefined, 5]) {
		t.is(stepRequestLimit(known, {perSecond, askedAt: 100, readAt: 130}), known, 'the request was not sent after the limit was stated');
	}
});

test('a response that a suspended host reads late does not raise a limit', t => {
	t.is(stepRequestLimit(known, {perSecond: 13, askedAt: 20, readAt: 9000}), known);
});

test('a limit that is stated again takes the later instants of both responses', t => {
	t.deepEqual(stepRequestLimit(known, {perSecond: 2, askedAt: 90, readAt: 140}), {perSecond: 2, askedAt: 90, readAt: 140});
	t.deepEqual(stepRequestLimit(known, {perSecond: 2, askedAt: 20, readAt: 140}), {perSecond: 2, askedAt: 50, readAt: 140});
});

test('a limit of 1000 requests a second or more counts as none', t => {
	for (const perSecond of [1000, 1e300, Number.POSITIVE_INFINITY]) {
		t.is(stepRequestLimit(known, {perSecond, askedAt: 110, readAt: 130}).perSecond, undefined);
	}
});

const hosts = ['hall-a', 'hall-b'].flatMap(hall => [0, 1, 2].map(index => ({address: `${hall}:${index}`, hall})));

test('coordinators are hosts of the endpoint\'s hall, whatever the order of the list of hosts', t => {
	const found = coordinatorsOf({id: 'e', hall: 'hall-b'}, hosts);
	t.is(found.length, 2);
	t.true(found.every(address => address.startsWith('hall-b')));
	t.deepEqual(coordinatorsOf({id: 'e', hall: 'hall-b'}, hosts.toReversed()), found);
});

test('when an endpoint\'s hall has fewer than two hosts, hosts of other halls are coordinators', t => {
	const few = hosts.filter(({address}) => address !== 'hall-b:0' && address !== 'hall-b:1');
	const found = coordinatorsOf({id: 'e', hall: 'hall-b'}, few);
	t.is(found[0], 'hall-b:2');
	t.is(found.length, 2);
	t.is(coordinatorsOf({id: 'e', hall: 'hall-c'}, hosts).length, 2);
	t.deepEqual(coordinatorsOf({id: 'e', hall: 'hall-c'}, []), []);
});
