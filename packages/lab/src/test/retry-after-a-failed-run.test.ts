import {randomUUID} from 'node:crypto';
import test from 'ava';
import got from 'got';
import {engineRuns} from '../lib/engine-runs.js';
import {eventually} from '../lib/eventually.js';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';

// Guards against a response that is lost because an earlier run of the request was cancelled by its engine and billed.
test('a retry of a request whose first run was cancelled at its engine gets a whole answer, and further retries get the same one', async t => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 20}});
	t.teardown(fleet.close);
	const [first, ...others] = fleet.entries;
	const call = {
		prompt: 'Summarise this contract.', maxTokens: 40, apiKey: fleet.apiKey, headers: {'idempotency-key': randomUUID()},
	};
	const cancelled = sendChat(first!.callers, call);
	const run = await eventually(async () => {
		const runs = await engineRuns(fleet.engines);
		return runs.find(({served}) => served > 10);
	});
	await Promise.all(Object.values(fleet.engines).map(async ({url}) =>
		got.post(`${url}/v1/streams/${run.id}/cancel`, {throwHttpErrors: false, retry: {limit: 0}})));
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
