import test from 'ava';
import {coordinatorsOf} from '../request-limits/coordinators-of.js';
import {permitRate} from '../request-limits/permit-rate.js';
import type {RequestLimit} from '../request-limits/request-limit.js';
import {stepRequestLimit} from '../request-limits/step-request-limit.js';
import {takeToken} from '../request-limits/take-token.js';
import type {TokenBucket} from '../request-limits/token-bucket.js';

/** When tokens are taken by one who asks every 10 ms, in ms. */
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

test('a new bucket is empty, and hands out a token each time that one is in', t => {
	t.deepEqual(takeAll(1, 3000), [1000, 2000, 3000]);
	const {nextAt} = takeToken({tokens: 0.5, perSecond: 2, countedAt: 0}, 2, 0);
	t.is(nextAt, 250);
});

test('an idle bucket holds what comes in within a quarter of a second, one at least', t => {
	const idle: TokenBucket = {tokens: 0, perSecond: 1, countedAt: 0};
	t.is(takeToken(idle, 1, 60_000).bucket.tokens, 0);
	t.is(takeToken({...idle, perSecond: 40}, 40, 60_000).bucket.tokens, 9);
});

test('what came in before a limit fell is not handed out at the higher rate', t => {
	const slow = takeToken({tokens: 0, perSecond: 40, countedAt: 0}, 1, 500);
	t.false(slow.isTaken);
	t.is(slow.bucket.tokens, 0.5);
});

test('a wake from a suspension hands out no more than one bucket', t => {
	t.is(takeToken({tokens: 1, perSecond: 4, countedAt: 0}, 4, 600_000).bucket.tokens, 0);
});

test('both coordinators together hand out a quarter above the limit at most, and others nothing', t => {
	for (const limit of [0.3, 1, 7, 500]) {
		t.true(permitRate(limit, 0) + permitRate(limit, 1) <= limit * 1.25);
		t.is(permitRate(limit, 0), limit);
		t.is(permitRate(limit, 2), 0);
		t.is(permitRate(limit, -1), 0);
	}
});

test('an endpoint that wants none gets a request in ten seconds, by which it is found when the limit ends', t => {
	t.is(permitRate(0, 0), 0.1);
});

const known: RequestLimit = {perSecond: 2, askedAt: 50, readAt: 100};

test('what an endpoint said last counts, higher or lower', t => {
	t.is(stepRequestLimit(undefined, known), known);
	for (const perSecond of [undefined, 1, 5]) {
		const later = {perSecond, askedAt: 101, readAt: 130};
		t.is(stepRequestLimit(known, later), later);
		t.is(stepRequestLimit(later, known), later);
	}
});

test('where the order of two answers is not known, the lower limit counts', t => {
	const lower = {perSecond: 1, askedAt: 10, readAt: 60};
	t.is(stepRequestLimit(known, lower), lower);
	t.is(stepRequestLimit(lower, known), lower);
	for (const perSecond of [undefined, 5]) {
		t.is(stepRequestLimit(known, {perSecond, askedAt: 100, readAt: 130}), known, 'the request was not sent after the limit was named');
	}
});

test('an answer that a host read late, after a suspension, does not raise a limit', t => {
	t.is(stepRequestLimit(known, {perSecond: 13, askedAt: 20, readAt: 9000}), known);
});

test('a limit that is said again is known by the later answer', t => {
	t.deepEqual(stepRequestLimit(known, {perSecond: 2, askedAt: 90, readAt: 140}), {perSecond: 2, askedAt: 90, readAt: 140});
	t.deepEqual(stepRequestLimit(known, {perSecond: 2, askedAt: 20, readAt: 140}), {perSecond: 2, askedAt: 50, readAt: 140});
});

test('a limit that binds no endpoint is none', t => {
	for (const perSecond of [1000, 1e300, Number.POSITIVE_INFINITY]) {
		t.is(stepRequestLimit(known, {perSecond, askedAt: 110, readAt: 130}).perSecond, undefined);
	}
});

const hosts = ['hall-a', 'hall-b'].flatMap(hall => [0, 1, 2].map(index => ({address: `${hall}:${index}`, hall})));

test('coordinators are hosts of the hall of the endpoint, the same wherever they are looked up', t => {
	const found = coordinatorsOf({id: 'e', hall: 'hall-b'}, hosts);
	t.is(found.length, 2);
	t.true(found.every(address => address.startsWith('hall-b')));
	t.deepEqual(coordinatorsOf({id: 'e', hall: 'hall-b'}, hosts.toReversed()), found);
});

test('where the hall has fewer than two hosts, others coordinate', t => {
	const few = hosts.filter(({address}) => address !== 'hall-b:0' && address !== 'hall-b:1');
	const found = coordinatorsOf({id: 'e', hall: 'hall-b'}, few);
	t.is(found[0], 'hall-b:2');
	t.is(found.length, 2);
	t.is(coordinatorsOf({id: 'e', hall: 'hall-c'}, hosts).length, 2);
	t.deepEqual(coordinatorsOf({id: 'e', hall: 'hall-c'}, []), []);
});
