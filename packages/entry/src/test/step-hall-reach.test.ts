import test from 'ava';
import type {HallReachEvent} from '../lib/hall-health/hall-reach-event.js';
import type {HallReach} from '../lib/hall-health/hall-reach.js';
import {stepHallReach} from '../lib/hall-health/step-hall-reach.js';

const inReach: HallReach = {
	isLost: false, heardAt: 0, isDoubted: false, isProbing: false, probeAgainAt: 0,
};

/** Plays events at their times. Returns the last step. */
const play = (events: ReadonlyArray<readonly [number, HallReachEvent]>) => {
	let reach = inReach;
	let isProbeDue = false;
	for (const [now, event] of events) {
		({reach, isProbeDue} = stepHallReach(reach, event, now));
	}

	return {reach, isProbeDue};
};

const tick = (waitsSince?: number): HallReachEvent => ({type: 'ticked', waitsSince});

test('a hall that owes nothing is not probed, however long it is silent', t => {
	t.false(play([[60_000, tick()]]).isProbeDue);
});

test('a hall that owes answers and is silent is probed, once at a time', t => {
	t.false(play([[1200, tick(1000)]]).isProbeDue);
	t.true(play([[1400, tick(1000)]]).isProbeDue);
	t.false(play([[1400, tick(1000)], [1500, tick(1000)]]).isProbeDue);
});

test('bytes of any endpoint show that the hall is in reach', t => {
	t.false(play([[1300, {type: 'heard'}], [1400, tick(1000)]]).isProbeDue);
	t.false(play([[1300, {type: 'connect_failed'}], [1350, {type: 'heard'}], [1400, tick()]]).isProbeDue);
});

test('a connection that fails brings a probe, and loses no hall alone', t => {
	const {reach, isProbeDue} = play([[100, {type: 'connect_failed'}], [150, tick()]]);
	t.true(isProbeDue);
	t.false(reach.isLost);
});

test('a hall whose probe fails is lost until a probe arrives', t => {
	const lost = [[1400, tick(1000)], [1600, {type: 'probe_ended', isReached: false}]] as const;
	t.true(play(lost).reach.isLost);
	t.true(play([...lost, [2100, tick()]]).isProbeDue);
	t.false(play([...lost, [2100, tick()], [2110, {type: 'probe_ended', isReached: true}]]).reach.isLost);
});

test('slow endpoints of a hall in reach are not probed all the time', t => {
	const answered = [[1400, tick(1000)], [1402, {type: 'probe_ended', isReached: true}]] as const;
	t.false(play([...answered, [1900, tick(1000)]]).isProbeDue);
	t.true(play([...answered, [2500, tick(1000)]]).isProbeDue);
});
