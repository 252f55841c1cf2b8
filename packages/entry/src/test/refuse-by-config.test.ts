import test from 'ava';
import {hostRefusals} from '../lib/admission/host-refusals.js';
import {refuseByConfig} from '../lib/admission/refuse-by-config.js';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const configApplyMs = 3000;

const bodyCodeOf = ({body}: {readonly body: string}): string => (JSON.parse(body) as {error: {code: string}}).error.code;

test('a refusal by the configuration stands while the configuration is confirmed, and where no bound is set', t => {
	t.is(refuseByConfig(hostRefusals.noRoute, {ageMs: 3000, applyMs: 3000}), hostRefusals.noRoute);
	t.is(refuseByConfig(hostRefusals.noRoute, {ageMs: 3001, applyMs: 3000}), hostRefusals.configUnconfirmed);
	t.is(refuseByConfig(hostRefusals.unauthorized, {ageMs: Number.POSITIVE_INFINITY, applyMs: 3000}), hostRefusals.configUnconfirmed);
	t.is(refuseByConfig(hostRefusals.unauthorized, {ageMs: Number.POSITIVE_INFINITY, applyMs: undefined}), hostRefusals.unauthorized);
});

// The host was cut off while the route was added, then the store was busy, and then the configuration took long over a small link.
test('a host refuses a route for good by a configuration that it has not confirmed for longer than the bound', async t => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {now: clock.now, configApplyMs});
	t.teardown(async () => host.entry.kill());
	const endpoint = await startEndpoint('e', (_req, res) => {
		res.end('fine');
	});
	t.teardown(() => {
		endpoint.close();
	});
	const oldRoute = makeRoute({pathPrefix: '/old/'});
	const newRoute = makeRoute({name: 'new', pathPrefix: '/new/'});
	const statusOf = async (path: string, key = 'key'): Promise<number> => {
		const {status} = await callHost(host.callers, {path, headers: {[headerNames.apiKey]: key}});
		return status;
	};

	t.is(bodyCodeOf(await callHost(host.callers, {path: '/new/'})), 'not_ready', 'without a configuration');

	host.entry.configure(makeConfig({version: 22, routes: [oldRoute]}));
	host.entry.configConfirmed(clock.now());
	host.entry.listEndpoints([endpoint.listed]);
	t.is(await statusOf('/new/'), 404, 'just confirmed');
	t.is(await statusOf('/old/', 'unknown'), 401);

	clock.advance(configApplyMs + 1);
	const refused = await callHost(host.callers, {path: '/new/'});
	t.is(refused.status, 503, 'not confirmed for longer than the bound');
	t.is(bodyCodeOf(refused), 'config_unconfirmed');
	t.true(Number(refused.headers['retry-after']) <= 0.5);
	t.is(await statusOf('/old/', 'unknown'), 503);
	t.is(await statusOf('/old/'), 200, 'what the old configuration allows is served');
	const line = host.events.find(({fields}) => fields.code === 'config_unconfirmed');
	t.is(line?.fields.config_age_ms, configApplyMs + 1);
	t.is(line?.fields.version, 22);
	t.is(line?.fields.retry_after_s, Number(refused.headers['retry-after']));

	host.entry.configure(makeConfig({version: 33, routes: [oldRoute, newRoute]}));
	host.entry.configConfirmed(clock.now() - 900);
	t.is(await statusOf('/new/'), 200, 'the newer configuration was read');
	t.is(await statusOf('/none/'), 404);
});

test('a body above the limit of an outdated configuration is refused for good', async t => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {now: clock.now, configApplyMs});
	t.teardown(async () => host.entry.kill());
	host.entry.configure(makeConfig());
	host.entry.configConfirmed(clock.now());
	const body = 'x'.repeat(2000);
	const confirmed = await callHost(host.callers, {body});
	t.is(confirmed.status, 413);
	clock.advance(configApplyMs + 1);
	const unconfirmed = await callHost(host.callers, {body});
	t.is(unconfirmed.status, 503);
});
