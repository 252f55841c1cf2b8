import test from 'ava';
import type {HallReachEvent} from '../lib/hall-health/hall-reach-event.js';
import type {HallReach} from '../lib/hall-health/hall-reach.js';
import {stepHallReach} from '../lib/hall-health/step-hall-reach.js';

const initialReach: HallReach = {
	isUnreachable: false, heardAt: 0, hasConnectFailed: false, isProbing: false, nextProbeAt: 0,
};

/** Applies events at their times, in monotonic ms. Returns the last step. */
const stepThrough = (events: ReadonlyArray<readonly [number, HallReachEvent]>) => {
	let reach = initialReach;
	let isProbeDue = false;
	for (const [now, event] of events) {
		({reach, isProbeDue} = stepHallReach(reach, event, now));
	}

	return {reach, isProbeDue};
};

const tick = (oldestSentAt?: number): HallReachEvent => ({type: 'ticked', oldestSentAt});

test('a hall without open attempts is not probed, however long it is silent', t => {
	t.false(stepThrough([[60_000, tick()]]).isProbeDue);
});

test('a hall with open attempts that is silent is probed, once at a time', t => {
	t.false(stepThrough([[1200, tick(1000)]]).isProbeDue);
	t.true(stepThrough([[1400, tick(1000)]]).isProbeDue);
	t.false(stepThrough([[1400, tick(1000)], [1500, tick(1000)]]).isProbeDue);
});

test('a hall is not probed when bytes arrive from any of its endpoints', t => {
	t.false(stepThrough([[1300, {type: 'heard'}], [1400, tick(1000)]]).isProbeDue);
	t.false(stepThrough([[1300, {type: 'connect_failed'}], [1350, {type: 'heard'}], [1400, tick()]]).isProbeDue);
});

test('a failed connection brings a probe and does not make the hall unreachable by itself', t => {
	const {reach, isProbeDue} = stepThrough([[100, {type: 'connect_failed'}], [150, tick()]]);
	t.true(isProbeDue);
	t.false(reach.isUnreachable);
});

test('a hall whose probe fails is unreachable until a probe succeeds', t => {
	const unreachableEvents = [[1400, tick(1000)], [1600, {type: 'probe_ended', isReached: false}]] as const;
	t.true(stepThrough(unreachableEvents).reach.isUnreachable);
	t.true(stepThrough([...unreachableEvents, [2100, tick()]]).isProbeDue);
	t.false(stepThrough([...unreachableEvents, [2100, tick()], [2110, {type: 'probe_ended', isReached: true}]]).reach.isUnreachable);
});

test('slow endpoints of a reachable hall do not bring one probe after the other', t => {
	const reachedEvents = [[1400, tick(1000)], [1402, {type: 'probe_ended', isReached: true}]] as const;
	t.false(stepThrough([...reachedEvents, [1900, tick(1000)]]).isProbeDue);
	t.true(stepThrough([...reachedEvents, [2500, tick(1000)]]).isProbeDue);
});
