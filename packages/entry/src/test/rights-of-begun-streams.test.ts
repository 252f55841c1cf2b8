/** Guards against take-ups of streams that are refused for later or more urgent requests, so that callers are left with a part of an answer. */
import test from 'ava';
import {admitRequest} from '../lib/admission/admit-request.js';
import {scheduleByTimer} from '../lib/host/schedule-by-timer.js';
import {createReservation} from '../lib/request/create-reservation.js';
import type {RightsManager} from '../lib/rights/rights-manager.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {headerNames} from './lib/header-names.js';
import {makeConfig, makeRoute} from './lib/start-host.js';

const config = makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true, priority: 3})]});

/** Returns the priority by which rights are reserved for the first run of a request; `undefined` where none are kept from it. */
const priorityOf = async (headers: Readonly<Record<string, string>>): Promise<number | undefined> => {
	const admitted = admitRequest(config, {ageMs: 0, applyMs: undefined}, {url: '/', headers: {host: 'fleet', [headerNames.apiKey]: 'key', ...headers}, receivedAt: 0}, headerNames);
	if (!admitted.ok) {
		throw new Error('not admitted');
	}

	let priority: number | undefined;
	const rights: Pick<RightsManager, 'reserve' | 'settle' | 'retryAfterSeconds'> = {
		async reserve(_budget, _tokens, _waitUntil, given) {
			priority = given;
			return 'reserved';
		},
		settle: () => undefined,
		retryAfterSeconds: () => 0,
	};
	const reservation = createReservation('b', admitted.value, {rights, schedule: scheduleByTimer, now: () => 0});
	await reservation.reserve(10, true);
	return priority;
};

test('rights are kept from a stream that its caller has in part, or from no new one', async t => {
	t.is(await priorityOf({}), 3);
	t.is(await priorityOf({[headerNames.resumes]: 'a'}), 3);
	t.is(await priorityOf({[headerNames.lastEventId]: '1'}), 3);
	t.is(await priorityOf({[headerNames.resumes]: 'a', [headerNames.lastEventId]: '1'}), undefined);
});

test('a stream that its caller has in part is refused for rights that come a moment later, or waits on and on', async t => {
	const clock = createManualClock();
	let asked = 0;
	const reservationAt = (availableAfter: number) => createReservation('b', {
		route: makeRoute({kind: 'stream', isResumable: true, goalMs: 1000}), organisation: undefined, prompt: undefined, deadline: clock.now() + 10_000, isContinued: true,
	}, {
		rights: {reserve: async () => asked++ < availableAfter ? 'unavailable' : 'reserved', settle: () => undefined, retryAfterSeconds: () => 2},
		schedule(delayMs, callback) {
			clock.advance(delayMs);
			callback();
			return () => undefined;
		},
		now: clock.now,
	});
	t.is(await reservationAt(5).reserve(10, true), undefined);
	asked = 0;
	const refused = await reservationAt(1000).reserve(10, true);
	t.is(refused?.code, 'rights_unavailable');
	t.true(asked <= 11);
});
