import test from 'ava';
import {createConfigMonitor} from '../lib/admission/create-config-monitor.js';
import {isConfigOutdated} from '../lib/admission/is-config-outdated.js';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const applyMs = 3000;
const never = Number.POSITIVE_INFINITY;

test('a host that is cut off refuses what its configuration allows, or one that peers tell of a newer one does not', t => {
	t.false(isConfigOutdated({ageMs: never, applyMs}, {newerAgeMs: never, isCutOffByLoad: false}), 'cut off');
	t.false(isConfigOutdated({ageMs: never, applyMs}, {newerAgeMs: applyMs + 1, isCutOffByLoad: false}), 'cut off since a peer told of it');
	t.true(isConfigOutdated({ageMs: applyMs + 1, applyMs}, {newerAgeMs: 0, isCutOffByLoad: false}), 'told by peers');
	t.true(isConfigOutdated({ageMs: applyMs + 1, applyMs}, {newerAgeMs: never, isCutOffByLoad: true}), 'callers use its link up');
	t.false(isConfigOutdated({ageMs: applyMs, applyMs}, {newerAgeMs: 0, isCutOffByLoad: true}), 'confirmed within the bound');
	t.false(isConfigOutdated({ageMs: never, applyMs: undefined}, {newerAgeMs: 0, isCutOffByLoad: true}), 'no bound');
});

test('a host serves by an outdated configuration because callers use its link up, or does not serve although it is cut off', t => {
	const inputs = {isOverloaded: true, hallSize: 2, quietMs: applyMs + 1};
	const isOutdated = ({isOverloaded, hallSize, quietMs}: typeof inputs): boolean => createConfigMonitor({
		applyMs, isOverloaded: () => isOverloaded, hallSize: () => hallSize, peersQuietMs: () => quietMs, elapsed: () => 0,
	}).isOutdated();
	t.true(isOutdated(inputs));
	t.false(isOutdated({...inputs, isOverloaded: false}), 'a cut');
	t.false(isOutdated({...inputs, quietMs: applyMs}), 'a cut hall, whose hosts hear each other');
	t.false(isOutdated({...inputs, hallSize: 1}), 'the only host of a hall');
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
