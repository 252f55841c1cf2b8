import test from 'ava';
import {waitLimit} from '../lib/endpoint-waits/wait-limit.js';

const eventTimeout = {ms: 2000, goals: 4, pauses: 8};

test('a stream waits longer for an endpoint than leaves the first event its time before the caller gives up', t => {
	const limitOf = (goalMs: number, maxPauseMs?: number, deadline = 60_000) => waitLimit({
		route: {goalMs, maxPauseMs}, heardAt: 1000, deadline, eventTimeout,
	});
	t.is(limitOf(300), 2700);
	t.is(limitOf(800), 3400);
	t.is(limitOf(600, 400), 3600);
	t.is(limitOf(800, undefined, 2500), 1700);
	t.is(waitLimit({
		route: {goalMs: 800}, heardAt: 1000, deadline: 60_000, eventTimeout: undefined,
	}), undefined);
});
