/**
What callers would see, found by looking elsewhere for the cause of an incident of the entry host (not reported of this program):
engines end one after the other under one request, and all that runs there breaks off.

Order of events: an engine begins to run the request and ends; the host makes the run again at the next one. The caller sends the
request again, with a new key, to another host.

Cause: each run was judged alone, and a lost one counted against its engine only. Evidence: 18 engines ended in six sendings before
the mend, six are allowed.
*/
import test from 'ava';
import {startEngine, type RunningStandIn} from '@deckwheel/stand-ins';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';

const fatal = 'A prompt that ends engines.';
const engineCount = 4;

/** Ends after which a request is blocked, and those that may be on their way then. */
const endsAllowed = 3 + 3;

test('a request that ends engines ends few of them, whichever host it comes to', async t => {
	let ends = 0;
	const started: RunningStandIn[] = [];
	const engineOf = (port?: number) => ({
		endsOn: fatal,
		...(port !== undefined && {port}),
		onEnded() {
			ends++;
		},
	});
	const fleet = await startFleet({halls: {'hall-a': 3}, engines: Array.from({length: engineCount}, () => engineOf())});
	t.teardown(async () => {
		await fleet.close();
		await Promise.all(started.map(async engine => engine.close()));
	});
	const ports = Object.values(fleet.engines).map(({url}) => Number(new URL(url).port));
	const startAgain = async (): Promise<void> => {
		for (const port of ports) {
			try {
				started.push(await startEngine(engineOf(port)));
			} catch {
				// It has not ended.
			}
		}
	};

	const statuses: number[] = [];
	for (let i = 0; i < 6; i++) {
		const {status} = await sendChat(fleet.entries[i % fleet.entries.length]!.callers, {prompt: fatal, apiKey: fleet.apiKey});
		statuses.push(status);
		await startAgain();
	}

	t.true(ends <= endsAllowed, `${ends} engines ended`);
	t.is(statuses.at(-1), 429);
	const other = await sendChat(fleet.entries[0]!.callers, {prompt: 'Read this contract.', apiKey: fleet.apiKey});
	t.true(other.isWhole);
});
