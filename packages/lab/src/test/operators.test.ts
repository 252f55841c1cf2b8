import {execFile} from 'node:child_process';
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import test from 'ava';
import {
	approveDraft, authorDraft, rollDraft, topUpBudget,
} from '@deckwheel/cli';
import {checkBundle} from '@deckwheel/bundle';
import {slotOfBudget, type RightsObject} from '@deckwheel/ledger';
import {connectPlatform} from '@deckwheel/store-client';
import {startStore} from '@deckwheel/stand-ins';
import got from 'got';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';
import {testKeys} from '../lib/test-keys.js';

const run = promisify(execFile);
const tool = fileURLToPath(import.meta.resolve('@deckwheel/cli/main'));

const draftOf = (version: number, note: string): string => JSON.stringify({
	version,
	halls: [{id: 'hall-a', region: note}],
	organisations: [],
	models: [],
	services: [],
	endpoints: [],
	limits: {},
	policy: {profile: 'guard_spend', shareOfRest: 0.5},
});

const setUp = async () => {
	const store = await startStore();
	const platform = connectPlatform(store.url);
	const keys = testKeys();
	const prepare = async (version: number, note: string): Promise<string> => {
		const draft = await authorDraft(platform, draftOf(version, note), 'ada', keys.author);
		const id = draft.ok ? draft.value : '';
		await approveDraft(platform, id, 'ben', keys.approver);
		return id;
	};

	return {
		store, platform, keys, prepare,
	};
};

test('of operators who roll at the same moment one wins, and the others learn which version did', async t => {
	const {store, platform, prepare} = await setUp();
	t.teardown(store.close);
	const drafts = await Promise.all(['one', 'two', 'three'].map(async note => prepare(1, note)));
	const outcomes = await Promise.all(drafts.map(async draft => rollDraft(platform, draft)));
	t.is(outcomes.filter(({ok}) => ok).length, 1);
	const losers = outcomes.flatMap(outcome => outcome.ok ? [] : [outcome.error]);
	t.true(losers.every(error => error.includes('version 1') || error.includes('Version 1')));
});

test('a roll whose answer was lost is repeated safely', async t => {
	const {store, platform, prepare} = await setUp();
	t.teardown(store.close);
	const draft = await prepare(1, 'one');
	await got.put(`${store.url}/control/faults`, {json: {loseAnswers: 1}});
	t.deepEqual(await rollDraft(platform, draft), {ok: true, value: 1});
	t.deepEqual(await rollDraft(platform, draft), {ok: true, value: 1});
});

test('a skipped version, an unapproved draft and an approval by the author are refused', async t => {
	const {store, platform, keys, prepare} = await setUp();
	t.teardown(store.close);
	const skipped = await rollDraft(platform, await prepare(2, 'too high'));
	t.false(skipped.ok);
	const draft = await authorDraft(platform, draftOf(1, 'new'), 'ada', keys.author);
	const id = draft.ok ? draft.value : '';
	const unapproved = await rollDraft(platform, id);
	t.false(unapproved.ok);
	t.deepEqual(await approveDraft(platform, id, 'ada', keys.author), {ok: false, error: 'The author cannot approve. Ask somebody else.'});
});

test('the same top-up counts once, also when answers are lost and operators race', async t => {
	const {store, platform} = await setUp();
	t.teardown(store.close);
	await topUpBudget(platform, {
		budget: 'b', organisation: 'o', tokens: 100, id: 'created', slots: 4,
	});
	await got.put(`${store.url}/control/faults`, {json: {loseAnswers: 2}});
	const payments = ['invoice-1', 'invoice-1', 'invoice-2'];
	await Promise.all(payments.map(async id => topUpBudget(platform, {
		budget: 'b', tokens: 50, id, slots: 4,
	})));
	const object = await platform.get(`rights/${slotOfBudget('b', 4)}`);
	t.is(object.ok && (object.value.value as RightsObject).budgets.b?.limit, 200);
});

test('the tool shows which version is in force where, a budget, and a request', async t => {
	const fleet = await startFleet({halls: {'hall-a': 2}});
	t.teardown(fleet.close);
	const answer = await sendChat(fleet.entries[0]!.callers, {prompt: 'hello', apiKey: fleet.apiKey});
	const config = join(fleet.folder, 'deckwheel.json');
	await writeFile(config, JSON.stringify({platform: fleet.store.url, hosts: fleet.entries.map(({operators}) => operators), slots: 4}));
	const environment = {...process.env, DECKWHEEL_CONFIG: config, DECKWHEEL_TOKEN: fleet.operatorToken};
	const ask = async <T>(...words: readonly string[]): Promise<T> => {
		const {stdout} = await run(process.execPath, [tool, ...words, '--json'], {env: environment});
		return JSON.parse(stdout) as T;
	};

	const status = await ask<ReadonlyArray<{host: string; version: number}>>('bundle', 'status');
	t.deepEqual(status.map(({host, version}) => [host, version]), [['hall-a-1', 1], ['hall-a-2', 1]]);
	const explained = await ask<{bill: number; runs: ReadonlyArray<{reason: string}>}>('request', 'explain', fleet.budget, answer.key);
	t.is(explained.bill, answer.totalTokens);
	t.regex(explained.runs[0]!.reason, /cost_ms=/);
	const budget = await ask<{limit: number; holders: ReadonlyArray<{billed: number; stranded: number}>}>('budget', 'show', fleet.budget);
	t.like(budget, {limit: 1_000_000, holders: [{billed: answer.totalTokens, stranded: 0}]});
});

for (const name of ['parcel-map-viewer', 'spojka']) {
	test(`the example bundle of ${name} has no faults, and the brief's sizes`, async t => {
		const text = await readFile(new URL(`../../../../examples/${name}/bundle.json`, import.meta.url), 'utf8');
		const checked = checkBundle(JSON.parse(text));
		t.true(checked.ok);
		if (!checked.ok) {
			return;
		}

		const bundle = checked.value;
		t.is(bundle.halls.length, 3);
		t.is(bundle.organisations.length, 10);
		t.is(bundle.endpoints.filter(({kind}) => kind === 'model').length, 8);
		t.is(bundle.endpoints.filter(({kind}) => kind === 'service').length, 3);
	});
}

test('a broken settings file is refused with every fault named, before any socket is opened', async t => {
	const main = fileURLToPath(import.meta.resolve('@deckwheel/daemon/main'));
	const {store} = await setUp();
	t.teardown(store.close);
	const path = join(await mkdtemp(join(tmpdir(), 'deckwheel-')), 'broken-settings.json');
	await writeFile(path, JSON.stringify({
		host: 'UPPER', hall: 'hall-a', listen: {callers: {ip: 'x', port: 70_000}}, platform: {url: 'nowhere'}, secret: 'short', trustedKeys: [], extra: 1,
	}));
	const error = await t.throwsAsync<Error & {code: number; stderr: string}>(run(process.execPath, [main, '--settings', path]));
	t.is(error.code, 2);
	for (const fault of ['host:', 'listen.callers.ip:', 'listen.callers.port:', 'listen.peers:', 'platform.url:', 'secret:', 'extra']) {
		t.true(error.stderr.includes(fault), `not named: ${fault}`);
	}
});
