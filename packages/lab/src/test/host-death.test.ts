import {randomUUID} from 'node:crypto';
import test from 'ava';
import {slotOfBudget, unallocated, type RightsObject} from '@deckwheel/ledger';
import got from 'got';
import {askOperators} from '../lib/ask-operators.js';
import type {BudgetView} from '../lib/budget-view.js';
import {engineRuns} from '../lib/engine-runs.js';
import type {EntryProcess} from '../lib/entry-process.js';
import {eventually} from '../lib/eventually.js';
import type {Fleet} from '../lib/fleet.js';
import type {HostView} from '../lib/host-view.js';
import {sendChat} from '../lib/send-chat.js';
import {sendUntilAnswered} from '../lib/send-until-answered.js';
import {startFleet} from '../lib/start-fleet.js';

const viewOf = async (fleet: Fleet, entry: EntryProcess): Promise<BudgetView> =>
	askOperators<BudgetView>(entry, `/budgets/${fleet.budget}`, fleet.operatorToken);

const primaryOf = async (fleet: Fleet, entries: readonly EntryProcess[]): Promise<EntryProcess> =>
	eventually(async () => {
		const views = await Promise.all(entries.map(async entry => viewOf(fleet, entry)));
		return entries.find((_, index) => views[index]!.role === 'primary');
	});

const engineHasStarted = async (fleet: Fleet, count = 1): Promise<unknown> =>
	eventually(async () => {
		const runs = await engineRuns(fleet.engines);
		return runs.filter(({served}) => served > 0).length >= count;
	});

const allServed = async (fleet: Fleet): Promise<number> => {
	const runs = await engineRuns(fleet.engines);
	return runs.map(({served}) => served).reduce((a, b) => a + b, 0);
};

test('a host dies in the middle of an answer: the retry gets it whole, from one run, billed once', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const primary = await primaryOf(fleet, fleet.entries);
	const runner = fleet.entries.find(entry => entry !== primary)!;
	const others = fleet.entries.filter(entry => entry !== runner);
	const call = {
		prompt: 'Read this contract.', maxTokens: 60, apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID(), 'x-not-repeatable': 'true'},
	};
	const broken = sendChat(runner.callers, call);
	await engineHasStarted(fleet);
	runner.child.kill('SIGKILL');
	await t.throwsAsync(broken);
	const answer = await sendUntilAnswered(others, call);
	t.is(answer.text.trim().split(/ +/).length >= 59, true);
	const runs = await engineRuns(fleet.engines);
	t.is(runs.length, 1);
	const settled = await eventually(async () => {
		const view = await viewOf(fleet, await primaryOf(fleet, others));
		return view.reserved === 0 && view;
	});
	t.like(settled, {billed: runs[0]!.served, settled: runs[0]!.served, wasted: 0});
});

test('the primary of a budget dies: its backup knows every claim and every token', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}});
	t.teardown(fleet.close);
	const primary = await primaryOf(fleet, fleet.entries);
	const others = fleet.entries.filter(entry => entry !== primary);
	const call = {
		prompt: 'A tariff check.', apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID(), 'x-not-repeatable': 'true'},
	};
	const answer = await sendChat(others[0]!.callers, call);
	t.true(answer.isWhole);
	primary.child.kill('SIGKILL');
	const retry = await sendUntilAnswered(others, call);
	t.is(retry.text, answer.text);
	const runs = await engineRuns(fleet.engines);
	t.is(runs.length, 1);
	const view = await viewOf(fleet, await primaryOf(fleet, others));
	t.like(view, {billed: answer.totalTokens, wasted: 0});
});

test('a frozen primary wakes up after it was replaced, and can neither run nor bill anything', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}});
	t.teardown(fleet.close);
	const primary = await primaryOf(fleet, fleet.entries);
	const others = fleet.entries.filter(entry => entry !== primary);
	const call = {
		prompt: 'A plat note.', apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID(), 'x-not-repeatable': 'true'},
	};
	primary.child.kill('SIGSTOP');
	const answer = await sendUntilAnswered(others, call);
	primary.child.kill('SIGCONT');
	const atTheWoken = await sendUntilAnswered([primary], call);
	t.is(atTheWoken.text, answer.text);
	const runs = await engineRuns(fleet.engines);
	t.is(runs.length, 1);
	const woken = await eventually(async () => {
		const view = await viewOf(fleet, primary);
		return view.role !== 'primary' && view;
	});
	t.not(woken.role, 'primary');
	const view = await viewOf(fleet, await primaryOf(fleet, others));
	t.is(view.billed, await allServed(fleet));
});

test('a planned stop under load cuts nothing off, and hands its rights over', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 10, slots: 32}});
	t.teardown(fleet.close);
	const primary = await primaryOf(fleet, fleet.entries);
	const others = fleet.entries.filter(entry => entry !== primary);
	const open = Array.from({length: 12}, async (_, index) =>
		sendChat(primary.callers, {prompt: `contract ${index}`, maxTokens: 60, apiKey: fleet.apiKey}));
	await engineHasStarted(fleet, 12);
	primary.child.kill('SIGTERM');
	await primary.logged('event=stopping');
	const answers = await Promise.all(open);
	t.true(answers.every(({isWhole}) => isWhole));
	t.is(await primary.exited, 0);
	const view = await viewOf(fleet, await primaryOf(fleet, others));
	t.like(view, {reserved: 0, billed: await allServed(fleet), wasted: 0});
});

test('a host that is leaving takes no new work, and says when and where to come back', async t => {
	const fleet = await startFleet({halls: {'hall-a': 2}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const [leaving, staying] = fleet.entries;
	const open = sendChat(leaving!.callers, {prompt: 'long', maxTokens: 50, apiKey: fleet.apiKey});
	await engineHasStarted(fleet);
	await got.post(`${leaving!.operators}/drain`, {headers: {authorization: `Bearer ${fleet.operatorToken}`}});
	const health = await got(`${leaving!.callers}/healthz`, {throwHttpErrors: false, retry: {limit: 0}});
	t.is(health.statusCode, 503);
	const refused = await sendChat(leaving!.callers, {prompt: 'new', apiKey: fleet.apiKey});
	t.like(refused, {status: 503, error: {code: 'stopping', ran: 'not_run', retry_after_seconds: 1}});
	const elsewhere = await sendChat(staying!.callers, {prompt: 'new', apiKey: fleet.apiKey});
	t.true(elsewhere.isWhole);
	const answer = await open;
	t.true(answer.isWhole);
	t.is(await leaving!.exited, 0);
});

test('both hosts of a pair die: nothing is spent or run twice, and the third host goes on', async t => {
	const tokens = 5000;
	const fleet = await startFleet({halls: {'hall-a': 3}, tokens});
	t.teardown(fleet.close);
	const call = {
		prompt: 'A tariff check.', apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID(), 'x-not-repeatable': 'true'},
	};
	const answer = await sendUntilAnswered(fleet.entries, call);
	const status = await askOperators<HostView>(fleet.entries[0]!, '/status', fleet.operatorToken);
	const slot = status.slots[slotOfBudget(fleet.budget, status.slots.length)]!;
	const members = new Set([slot.primary, slot.backup].map(member => member!.split('~')[0]));
	const survivor = fleet.entries.find(({host}) => !members.has(host))!;
	const dead = fleet.entries.filter(entry => entry !== survivor);
	for (const {child} of dead) {
		child.kill('SIGKILL');
	}

	await fleet.listHosts([survivor]);
	const fresh = await sendUntilAnswered([survivor], {prompt: 'A new question.', apiKey: fleet.apiKey});
	t.true(fresh.isWhole);
	const retry = await sendChat(survivor.callers, call);
	t.like(retry, {status: 409, error: {code: 'outcome_unknown', ran: 'unknown'}});
	const runs = await engineRuns(fleet.engines);
	t.is(runs.length, 2);

	// What the dead pair held stays charged: the sum of all grants is within the limit.
	const object = await fleet.platform.get(`rights/${slot.slot}`);
	const rights = object.ok ? (object.value.value as RightsObject).budgets[fleet.budget]! : undefined;
	t.true(Object.keys(rights?.holders ?? {}).length === 2);
	t.true(rights !== undefined && unallocated(rights) >= 0);
	t.true(await allServed(fleet) <= tokens);
	t.true(answer.isWhole);
});
