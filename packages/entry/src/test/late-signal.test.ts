/**
Guards against a stopping host that counts its grace time from when it noticed the signal to stop, where the platform counts from when it sent the signal. A
host that was stopped, suspended or slow around the signal was killed with forwarded requests open, whose callers got no response.
*/
import test from 'ava';
import fc from 'fast-check';
import {afterNextPoll} from '@deckwheel/core';
import {mayForward} from '../lib/host/may-forward.js';
import {planShutdown} from '../lib/host/plan-shutdown.js';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** The grace time of the hosts of these tests, in ms. */
const graceMs = 20_000;

/** What the host needs between its last responses and the kill, in ms. */
const exitMs = 100;

/** How long a host that noticed the signal too late for that still waits for its last responses, in ms: an exit would cut them. */
const lastResponsesMs = 1000;

/** When the signal may have been sent at the earliest, in monotonic ms. */
const sentAfter = fc.integer({min: 0, max: 1_000_000});
const grace = fc.integer({min: 2000, max: 60_000});
/** A time after that, in ms. */
const after = fc.integer({min: 0, max: 100_000});

const started: Array<() => unknown> = [];

test.after.always(async () => {
	await Promise.all(started.map(async end => end()));
});

test('final responses are planned for a time after the kill, or connections are accepted until then', t => {
	fc.assert(fc.property(sentAfter, grace, after, (sent, ms, lateMs) => {
		const {cutRequestsAt, waitForRequestsUntil, waitForFinalResponsesUntil, listenUntil} = planShutdown(sent, ms, sent + lateMs);
		return waitForFinalResponsesUntil <= Math.max(sent + ms - exitMs, sent + lateMs + lastResponsesMs) && Math.max(cutRequestsAt, listenUntil, waitForRequestsUntil) <= waitForFinalResponsesUntil;
	}));
	t.pass();
});

test('a request without a deadline is forwarded later than 3 s after the signal may have been sent', t => {
	fc.assert(fc.property(sentAfter, grace, after, after, (sent, ms, lateMs, sentLater) => {
		const shutdownPlan = planShutdown(sent, ms, sent + lateMs);
		const now = sent + lateMs + sentLater;
		return now < sent + 3000 || !mayForward({shutdownPlan, now, deadline: Number.POSITIVE_INFINITY});
	}));
	t.pass();
});

test('a request is forwarded whose deadline comes after the wait for requests', t => {
	fc.assert(fc.property(sentAfter, grace, fc.tuple(after, after), after, (sent, ms, [lateMs, sentLater], endsLater) => {
		const shutdownPlan = planShutdown(sent, ms, sent + lateMs);
		const now = sent + lateMs + sentLater;
		const deadline = now + endsLater;
		return !mayForward({shutdownPlan, now, deadline}) || now < sent + 3000 || deadline < sent + ms - 1000;
	}));
	t.pass();
});

test('a host that noticed the signal after the end of its grace time exits at once, with responses unwritten', t => {
	fc.assert(fc.property(sentAfter, grace, after, (sent, ms, lateMs) => {
		const {cutRequestsAt, waitForFinalResponsesUntil} = planShutdown(sent, ms, sent + lateMs);
		return lateMs < ms || (cutRequestsAt <= sent + lateMs && waitForFinalResponsesUntil === sent + lateMs + lastResponsesMs);
	}));
	t.pass();
});

test('a signal that is noticed at once, or as late as a calm host may notice it, changes the plan', t => {
	fc.assert(fc.property(sentAfter, grace, fc.integer({min: 0, max: 100}), (sent, ms, lateMs) => {
		t.deepEqual(planShutdown(sent, ms, sent + lateMs), planShutdown(sent + lateMs, ms));
	}));
});

/**
Starts a host with one endpoint that never answers, on a route whose requests may not be repeated, with an open request. Calls `onArrival` at
each request that reaches the endpoint.
*/
const startWithOpenRequest = async (onArrival: Answer = () => undefined) => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {schedule: clock.schedule, now: clock.now});
	const endpoint = await startEndpoint('e', onArrival);
	started.push(async () => host.entry.kill(), () => {
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({kind: 'once'})]}));
	host.entry.listEndpoints([endpoint.listed]);
	const kept = await openCaller(host.callers);
	const open = callHost(host.callers, {headers: {[headerNames.requestId]: 'open'}});
	while (endpoint.seen.length === 0) {
		await afterNextPoll();
	}

	return {
		...host, clock, endpoint, kept, open,
	};
};

/** Waits for a log line for many turns of the event loop, which take no time of the host's clock. Returns its fields. */
const lineWithinTurns = async ({events}: {events: ReadonlyArray<{event: string; fields: Readonly<Record<string, unknown>>}>}, name: string) => {
	for (let turn = 0; turn < 300; turn++) {
		const line = events.find(({event}) => event === name);
		if (line) {
			return line.fields;
		}

		await afterNextPoll();
	}

	return undefined;
};

for (const lateMs of [1000, 2500, 15_000, 19_950, 25_000]) {
	test(`a forwarded request has no final response shortly before the kill: the signal was noticed ${lateMs} ms late`, async t => {
		const host = await startWithOpenRequest();
		const stopped = host.entry.stop(host.clock.now() - lateMs);
		host.clock.advance(Math.max(1, graceMs - lateMs - (2 * exitMs)));
		const refused = await lineWithinTurns(host, 'request_refused');
		if (!refused) {
			t.fail();
			return;
		}

		t.like(refused, {
			id: 'open', status: 504, cut_taken: 'before_stop', cut_received_ms: lateMs,
		});
		const {status, isWhole} = await host.open;
		t.deepEqual([status, isWhole], [504, true]);
		await stopped;
		t.like(host.events.find(({event}) => event === 'stopped')?.fields, {open: 0, late_ms: lateMs});
	});
}

for (const lateMs of [2500, 6000, 25_000]) {
	test(`a request without a near deadline that comes after a signal noticed ${lateMs} ms late is forwarded`, async t => {
		let arrive: () => void = () => undefined;
		const host = await startWithOpenRequest(() => {
			arrive();
		});
		void host.entry.stop(host.clock.now() - lateMs);
		host.clock.advance(Math.max(0, 3000 - lateMs));
		host.kept.sendHead('late', ['content-length: 0']);
		await Promise.race([
			host.logged('request_refused', ({id}) => id === 'late'),
			new Promise<void>(resolve => {
				arrive = resolve;
			}),
		]);
		t.deepEqual(host.endpoint.seen.map(({id}) => id), ['open']);
	});
}
