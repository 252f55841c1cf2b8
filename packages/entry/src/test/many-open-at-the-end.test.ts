/**
Guards against a stopping host that waits with all open requests until their ends take longer than it has before the kill: with thousands open on a part of a
core, some callers got no response, however early the signal was noticed.
*/
import {EventEmitter, once} from 'node:events';
import test from 'ava';
import {afterNextPoll} from '@deckwheel/core';
import type {RouteKind} from '../config/route-kind.js';
import {createShutdown} from '../lib/host/create-shutdown.js';
import {createManualClock} from './lib/create-manual-clock.js';

const graceMs = 8000;

/** The time that a host on a slice of a core takes to end one request with a final response, in ms. */
const endRequestMs = 1.5;

/** When the last third of the grace time has begun, in ms after the signal. */
const lastThirdMs = 5340;

/** When the last sixth of the grace time has begun, in which callers have to expect that streams are broken off, in ms after the signal. */
const lastSixthMs = 6670;

/** When a host has to have written all responses, in ms after the earliest instant at which the signal may have been sent. */
const endByMs = 7900;

/** Starts the shutdown of a host with open requests that end when the host ends them, and with a store that never answers. */
const startShutdown = (open: number, {lateMs = 0, kind = 'once'}: {readonly lateMs?: number; readonly kind?: RouteKind} = {}) => {
	const clock = createManualClock();
	const signals: AbortSignal[] = [];
	const countOpen = (): number => signals.filter(({aborted}) => !aborted).length;
	const shutdown = createShutdown({
		graceMs,
		requestCounter: {count: countOpen, untilNone: async () => undefined},
		schedule: clock.schedule,
		log: () => undefined,
		now: clock.now,
	});
	for (let index = 0; index < open; index++) {
		signals.push(shutdown.assignGroup(kind));
	}

	const sentAfter = clock.now() - lateMs;
	void shutdown.execute({
		servers: {closeIdleConnections: () => undefined, stopListening: () => undefined},
		rights: {
			async retire() {
				await once(new EventEmitter(), 'answer');
			},
		},
	}, sentAfter);
	return {clock, countOpen, leftMs: () => sentAfter + endByMs - clock.now()};
};

/** The most requests that a host had open beyond what it could still end, from `fromMs` on, at steps of the clock. */
const worstExcess = ({clock, countOpen, leftMs}: ReturnType<typeof startShutdown>, fromMs: number): number => {
	let worst = 0;
	clock.advance(fromMs);
	while (leftMs() > 0) {
		worst = Math.max(worst, countOpen() - (leftMs() / endRequestMs));
		clock.advance(10);
	}

	return worst;
};

/** What a host may have open beyond that between two looks at it, 50 ms apart. */
const mayExceed = 60 / endRequestMs;

test('3,500 requests are open at a stopping host that cannot end them all any more', t => {
	t.true(worstExcess(startShutdown(3500), lastThirdMs) <= mayExceed);
});

test('3,500 requests are open at a stopping host that noticed the signal late and cannot end them all any more', t => {
	t.true(worstExcess(startShutdown(3500, {lateMs: 2500}), lastThirdMs - 2500 + 100) <= mayExceed);
});

test('more streams are open in the last sixth of the grace time than it is long enough for', t => {
	t.true(worstExcess(startShutdown(3500, {kind: 'stream'}), lastSixthMs + 50) <= mayExceed);
});

test('a stopping host ends requests before the last third of its grace time, or streams before the last sixth', t => {
	const requests = startShutdown(12_000);
	requests.clock.advance(lastThirdMs - 10);
	t.is(requests.countOpen(), 12_000);
	const streams = startShutdown(12_000, {kind: 'stream'});
	streams.clock.advance(lastSixthMs - 10);
	t.is(streams.countOpen(), 12_000);
});

test('a stopping host ends some of few requests before their common end, or none of them then', async t => {
	const {clock, countOpen} = startShutdown(100);
	clock.advance(7590);
	t.is(countOpen(), 100);
	clock.advance(20);
	while (countOpen() > 0) {
		await afterNextPoll();
	}

	t.pass();
});
