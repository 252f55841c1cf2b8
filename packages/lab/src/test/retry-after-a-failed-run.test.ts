import {randomUUID} from 'node:crypto';
import test from 'ava';
import type {RunningStandIn} from '@deckwheel/stand-ins';
import got from 'got';
import {engineRuns} from '../lib/engine-runs.js';
import {eventually} from '../lib/eventually.js';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';

const runWithOutput = async (engines: Readonly<Record<string, RunningStandIn>>) => eventually(async () => {
	const runs = await engineRuns(engines);
	return runs.find(({served}) => served > 10);
});

const cancelRun = async (engines: Readonly<Record<string, RunningStandIn>>, id: string): Promise<void> => {
	await Promise.all(Object.values(engines).map(async ({url}) =>
		got.post(`${url}/v1/streams/${id}/cancel`, {throwHttpErrors: false, retry: {limit: 0}})));
};

// Guards against a response that is lost because an earlier run of the request was cancelled by its engine and billed.
test('a retry of a request whose first run was cancelled at its engine gets a whole answer, and further retries get the same one', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const [first, ...others] = fleet.entries;
	const call = {
		prompt: 'Summarise this contract.', maxTokens: 40, apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID()},
	};
	const cancelled = sendChat(first!.callers, call);
	const run = await runWithOutput(fleet.engines);
	await cancelRun(fleet.engines, run.id);
	t.like(await cancelled, {error: {code: 'endpoint_failed', ran: 'ran'}});

	const retried = await sendChat(first!.callers, call);
	t.true(retried.isWhole);
	for (const {callers} of others) {
		const again = await sendChat(callers, call);
		t.is(again.text, retried.text);
	}

	const runs = await engineRuns(fleet.engines);
	t.is(runs.length, 2);
});

// Guards against a response that its engine cancelled and that ends like a complete one.
test('a response that its engine cancels does not look complete to its caller', async t => {
	const fleet = await startFleet({halls: {'hall-a': 1}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const cancelled = sendChat(fleet.entries[0]!.callers, {prompt: 'Summarise this contract.', maxTokens: 40, apiKey: fleet.apiKey});
	const run = await runWithOutput(fleet.engines);
	await cancelRun(fleet.engines, run.id);
	t.like(await cancelled, {isWhole: false, error: {code: 'endpoint_failed'}});
});

// Guards against a stream that its caller takes up with Last-Event-ID after its run has ended for good, and that goes on with a second run.
test('a caller that takes a cancelled stream up gets the rest of another run', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const call = {
		prompt: 'Summarise this contract.', maxTokens: 40, apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID()},
	};
	const cancelled = sendChat(fleet.entries[0]!.callers, call);
	const run = await runWithOutput(fleet.engines);
	await cancelRun(fleet.engines, run.id);
	await cancelled;
	const takenUp = await sendChat(fleet.entries[1]!.callers, {...call, headers: {...call.headers, 'last-event-id': '3'}});
	t.false(takenUp.isWhole);
});
