import {randomUUID} from 'node:crypto';
import test from 'ava';
import got from 'got';
import {askOperators} from '../lib/ask-operators.js';
import {engineRuns} from '../lib/engine-runs.js';
import type {Fleet} from '../lib/fleet.js';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';

let fleet: Fleet;

test.before(async () => {
	fleet = await startFleet({halls: {'hall-a': 2, 'hall-b': 1}});
});

test.after.always(async () => {
	await fleet.close();
});

test.serial('a retry by another hall gets the same whole answer, and it is billed once', async t => {
	const [first, , third] = fleet.entries;
	const call = {prompt: 'Which plats touch lot 7?', apiKey: fleet.apiKey};
	const answer = await sendChat(first!.callers, call);
	t.true(answer.isWhole);
	const runsBefore = await engineRuns(fleet.engines);
	const retry = await sendChat(third!.callers, {...call, headers: {'idempotency-key': answer.key}});
	t.deepEqual({...retry, key: ''}, {...answer, key: ''});
	const runsAfter = await engineRuns(fleet.engines);
	t.is(runsAfter.length, runsBefore.length);
	const explained = await askOperators<{bill: number}>(first!, `/requests/${fleet.budget}/${answer.key}`, fleet.operatorToken);
	t.is(explained.bill, answer.totalTokens);
});

test.serial('a retry takes the answer up after the event that it names', async t => {
	const [first, second] = fleet.entries;
	const call = {prompt: 'abcdefghij', maxTokens: 10, apiKey: fleet.apiKey};
	const answer = await sendChat(first!.callers, call);
	const rest = await sendChat(second!.callers, {...call, headers: {'idempotency-key': answer.key, 'last-event-id': '4'}});
	t.true(answer.text.endsWith(rest.text));
	t.is(rest.text.trim().split(' ').length, 6);
});

test.serial('another organisation cannot read an answer by its key', async t => {
	const [first] = fleet.entries;
	const secret = {prompt: 'the secret of the title company', apiKey: fleet.apiKey};
	const answer = await sendChat(first!.callers, secret);
	const other = await sendChat(first!.callers, {prompt: 'a question of the surveyors', apiKey: fleet.otherApiKey, headers: {'idempotency-key': answer.key}});
	t.true(other.isWhole);
	t.not(other.text, answer.text);
});

test.serial('two attempts at once run once, and both get the whole answer', async t => {
	const [first, second, third] = fleet.entries;
	const before = await engineRuns(fleet.engines);
	const call = {
		prompt: 'Draft the chain-of-title note.', maxTokens: 40, apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID(), 'x-not-repeatable': 'true'},
	};
	const answers = await Promise.all([first!, second!, third!].map(async ({callers}) => sendChat(callers, call)));
	t.true(answers.every(({isWhole}) => isWhole));
	t.is(new Set(answers.map(({text}) => text)).size, 1);
	const after = await engineRuns(fleet.engines);
	t.is(after.length, before.length + 1);
});

test.serial('a caller that did not ask for a stream gets one completion', async t => {
	const response = await got.post(`${fleet.entries[0]!.callers}/v1/chat/completions`, {
		json: {model: 'assistant', messages: [{role: 'user', content: 'hello'}], max_tokens: 3},
		headers: {authorization: `Bearer ${fleet.apiKey}`},
	}).json<{choices: ReadonlyArray<{message: {content: string}}>; usage: {total_tokens: number}}>();
	t.is(response.choices[0]?.message.content, 'h0 e1 l2 ');
	t.is(response.usage.total_tokens, 5);
});

test.serial('a call that may not be repeated runs once at its service, however often it is sent', async t => {
	const key = randomUUID();
	const answers = await Promise.all(fleet.entries.map(async ({callers}) => got.post(`${callers}/services/records/plat-notes/7`, {
		json: {note: 'see plat 12'},
		headers: {authorization: `Bearer ${fleet.apiKey}`, 'idempotency-key': key},
	}).json<{key: string}>()));
	t.is(new Set(answers.map(answer => answer.key)).size, 1);
	const {runs} = await got(`${fleet.service.url}/control/runs`).json<{runs: Record<string, number>}>();
	t.is(runs[answers[0]!.key], 1);
});

const chat = {model: 'assistant', messages: [{role: 'user', content: 'hello'}]};

const post = async (body: string, headers: Record<string, string>) =>
	got.post(`${fleet.entries[0]!.callers}/v1/chat/completions`, {
		body,
		headers: {authorization: `Bearer ${fleet.apiKey}`, 'content-type': 'application/json', ...headers},
		throwHttpErrors: false,
		retry: {limit: 0},
	});

const badRequests: ReadonlyArray<readonly [title: string, status: number, body: string, headers: Record<string, string>]> = [
	['malformed JSON', 400, '{"model":', {}],
	['no messages', 400, JSON.stringify({model: 'assistant', messages: []}), {}],
	['a negative number of tokens', 400, JSON.stringify({...chat, max_tokens: -5}), {}],
	['a number of tokens that is none', 400, JSON.stringify({...chat, max_tokens: 'NaN'}), {}],
	['an absurd number of tokens', 400, JSON.stringify({...chat, max_tokens: 1e300}), {}],
	['content of a wrong type', 400, JSON.stringify({...chat, messages: [{role: 'user', content: 7}]}), {}],
	['an unknown model', 404, JSON.stringify({...chat, model: 'oracle'}), {}],
	['a body that is too large', 400, JSON.stringify({...chat, padding: 'x'.repeat(1_100_000)}), {}],
	['a deadline that is none', 400, JSON.stringify(chat), {'x-deadline': 'soon'}],
	['a key with odd characters', 400, JSON.stringify(chat), {'idempotency-key': 'a b'}],
	['a key of a hall that is none', 400, JSON.stringify(chat), {'idempotency-key': 'dw~hall-z~mx5y4o6s~8f47ccbee7cbdcee71f79e9b'}],
	['an unknown API key', 401, JSON.stringify(chat), {authorization: 'Bearer nobody'}],
];

for (const [title, status, body, headers] of badRequests) {
	test.serial(`refused with a clear error: ${title}`, async t => {
		const response = await post(body, headers);
		t.is(response.statusCode, status);
		const {error} = JSON.parse(response.body) as {error: {code: string; message: string; ran: string}};
		t.truthy(error.code);
		t.truthy(error.message);
		t.is(error.ran, 'not_run');
	});
}

test.serial('a deadline that has passed is refused at once', async t => {
	const answer = await sendChat(fleet.entries[0]!.callers, {prompt: 'late', apiKey: fleet.apiKey, headers: {'x-deadline': '1000'}});
	t.like(answer, {status: 504, error: {code: 'deadline_exceeded', ran: 'not_run'}});
});
