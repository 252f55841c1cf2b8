import test from 'ava';
import {isConfigOutdated} from '../lib/admission/is-config-outdated.js';
import {createReplyTracker} from '../lib/peers/create-reply-tracker.js';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const applyMs = 3000;
const never = Number.POSITIVE_INFINITY;

test('a host that is cut off refuses what its configuration allows, or one that peers tell of a newer one does not', t => {
	t.false(isConfigOutdated({ageMs: never, applyMs}, {newerAgeMs: never, repliesLateMs: 0}), 'cut off');
	t.false(isConfigOutdated({ageMs: never, applyMs}, {newerAgeMs: applyMs + 1, repliesLateMs: 0}), 'cut off since a peer told of it');
	t.true(isConfigOutdated({ageMs: applyMs + 1, applyMs}, {newerAgeMs: 0, repliesLateMs: 0}), 'told by peers');
	t.true(isConfigOutdated({ageMs: applyMs + 1, applyMs}, {newerAgeMs: never, repliesLateMs: applyMs}), 'callers use its link up');
	t.false(isConfigOutdated({ageMs: applyMs, applyMs}, {newerAgeMs: 0, repliesLateMs: never}), 'confirmed within the bound');
	t.false(isConfigOutdated({ageMs: never, applyMs: undefined}, {newerAgeMs: 0, repliesLateMs: never}), 'no bound');
});

test('a host whose callers use its link up is taken for one that is cut off, or the other way round', t => {
	const clock = createManualClock();
	const tracker = createReplyTracker(clock.now);
	const askInVain = (ms: number, quietMs: number | undefined): void => {
		for (let passed = 0; passed < ms; passed += 300) {
			clock.advance(300);
			tracker.noteUnanswered(quietMs);
		}
	};

	t.is(tracker.lateMs(), 0, 'nothing asked');
	askInVain(3000, undefined);
	t.is(tracker.lateMs(), 0, 'no link to any peer');
	askInVain(3000, 8000);
	t.is(tracker.lateMs(), 0, 'silent links');
	tracker.noteAnswered();
	askInVain(3000, 200);
	t.is(Math.round(tracker.lateMs()), 2700, 'late replies');
	tracker.noteAnswered();
	t.is(tracker.lateMs(), 0, 'a reply in time');
	askInVain(3000, 200);
	clock.advance(2000);
	t.is(tracker.lateMs(), 0, 'nothing asked any more');
});

test('a host that peers tell of a newer configuration serves by its own for longer than a change may take, or stays away once it has read it', async t => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {now: clock.now, configApplyMs: applyMs});
	t.teardown(async () => host.entry.kill());
	const endpoint = await startEndpoint('e', (_req, res) => {
		res.end('fine');
	});
	t.teardown(() => {
		endpoint.close();
	});
	host.entry.configure(makeConfig({version: 22}));
	host.entry.configConfirmed(clock.now());
	host.entry.listEndpoints([endpoint.listed]);
	const statusOf = async (): Promise<number> => {
		const {status} = await callHost(host.callers);
		return status;
	};

	host.entry.configUnread(clock.now());
	t.is(await statusOf(), 200, 'there is time to read it');
	clock.advance(applyMs + 1);
	host.entry.configUnread(clock.now());
	t.is(await statusOf(), 503);
	const line = host.events.findLast(({event}) => event === 'request_refused');
	t.is(line?.fields.code, 'config_outdated');
	t.is(line?.fields.ran, 'not_run');
	t.is(line?.fields.config_age_ms, applyMs + 1);

	clock.advance(applyMs + 1);
	t.is(await statusOf(), 200, 'cut off since');

	host.entry.configUnread(clock.now());
	t.is(await statusOf(), 503);
	host.entry.configure(makeConfig({version: 33}));
	host.entry.configUnread(undefined);
	t.is(await statusOf(), 200, 'read');
});
