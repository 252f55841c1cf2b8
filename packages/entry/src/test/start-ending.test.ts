/** Guards against a stopping host that ends far more requests than it has to, since those whose responses it has not written yet count as open. */
import test from 'ava';
import {createRequestGroups} from '../lib/shutdown/create-request-groups.js';
import {startEnding} from '../lib/shutdown/start-ending.js';
import {createManualClock} from './lib/create-manual-clock.js';

/** The times of a plan, and when the trial looks at what was ended, in ms. */
const [endExcessFrom, endStreamsFrom, waitForFinalResponsesUntil, lookAt] = [5400, 6700, 7900, 5700];

/** The time that the host takes to end one request, in ms. */
const endRequestMs = 1.5;

/** Ends requests of a host that writes one response after the other. Returns how many were told to end, and how many had to be. */
const endSome = (open: number, streamShare: number) => {
	const clock = createManualClock();
	const startedAt = clock.now();
	const [groups, streams] = [createRequestGroups(), createRequestGroups()];
	let told = 0;
	const countTold = (): void => {
		told++;
	};

	const listen = (signal: AbortSignal): void => {
		signal.addEventListener('abort', () => {
			countTold();
		});
	};

	for (let index = 0; index < open; index++) {
		listen((index < open * streamShare ? streams : groups).assign());
	}

	let written = 0;
	const stop = startEnding({
		groups,
		streams,
		open: () => open - Math.floor(written),
		plan: {endExcessFrom: startedAt + endExcessFrom, endStreamsFrom: startedAt + endStreamsFrom, waitForFinalResponsesUntil: startedAt + waitForFinalResponsesUntil},
		schedule: clock.schedule,
		now: clock.now,
	});
	clock.advance(endExcessFrom);
	while (clock.now() < startedAt + lookAt) {
		clock.advance(1);
		written = Math.min(told, written + (1 / endRequestMs));
	}

	stop();
	return {told, needed: open - ((waitForFinalResponsesUntil - lookAt) / endRequestMs)};
};

for (const [open, streamShare] of [[2000, 0], [3500, 0], [2000, 0.5]] as const) {
	test(`requests that are ending count as open: ${open} of them, ${streamShare * 100} % streams`, t => {
		const {told, needed} = endSome(open, streamShare);
		// Groups end whole, and requests are counted every 50 ms.
		const tolerance = (open / 16 * 2) + (50 / endRequestMs);
		t.true(told <= needed + tolerance, `${told} of ${needed}`);
		t.true(told >= needed - tolerance, `${told} of ${needed}`);
	});
}
