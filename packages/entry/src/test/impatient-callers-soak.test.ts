/**
Guards against requests that reach an endpoint long after their callers have left, and against what a mend of that could break: whoever stays gets its own
answer or a refusal that is true, and no request runs twice. The host's thread stands still again and again, callers and endpoint have a thread of their own.

`IMPATIENT_SOAK_SEED` and `IMPATIENT_SOAK_RUNS` play other courses.
*/
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {standStill} from '@deckwheel/stand-ins';
import {createRandom} from './lib/create-random.js';
import type {ImpatientCall, ImpatientCourse} from './lib/impatient-course.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const {IMPATIENT_SOAK_SEED = '75', IMPATIENT_SOAK_RUNS = '3'} = process.env;

/** The longest after its caller has left that a request may reach an endpoint, in ms, and how many may be later. */
const maxLateMs = 500;
const fewRequests = 3;

const play = async (seed: number): Promise<{readonly calls: readonly ImpatientCall[]; readonly maxOwnDelayMs: number}> => {
	const random = createRandom(seed);
	const course: ImpatientCourse = {
		seed, requestCount: 800, everyMs: 5 + (random() * 10), patienceMs: 50 + (random() * 500), stayingShare: 0.2, isConnectionKept: random() < 0.5,
	};
	const host = await startHost(createMemoryRightsStore());
	const worker = new Worker(new URL('lib/impatient-callers.js', import.meta.url), {workerData: course});
	const [port] = await once(worker, 'message') as [number];
	host.entry.configure(makeConfig({routes: [makeRoute({kind: random() < 0.5 ? 'once' : 'repeatable'})]}));
	host.entry.listEndpoints([{
		id: 'e', instance: 'e', hall: 'hall-a', address: `127.0.0.1:${port}`, serves: ['s'], slots: 1000, isLeaving: false,
	}]);
	const ended = once(worker, 'message') as Promise<[Awaited<ReturnType<typeof play>>]>;
	worker.postMessage(host.callers);
	let result: Awaited<ReturnType<typeof play>> | undefined;
	const noteEnd = async (): Promise<void> => {
		[result] = await ended;
	};

	const hasEnded = noteEnd();
	const isPlaying = (): boolean => result === undefined;
	while (isPlaying()) {
		await Promise.race([delay(50 + (random() * 1500)), hasEnded]);
		standStill(random() * 1200);
	}

	await host.entry.kill();
	await worker.terminate();
	return result!;
};

for (let run = 0; run < Number(IMPATIENT_SOAK_RUNS); run++) {
	const seed = Number(IMPATIENT_SOAK_SEED) + run;
	test.serial(`requests reach endpoints long after their callers have left, seed ${seed}`, async t => {
		const {calls, maxOwnDelayMs} = await play(seed);
		const late = calls.filter(({lateMs}) => lateMs > maxLateMs + maxOwnDelayMs);
		t.true(late.length <= fewRequests, `${late.length} late, at most ${Math.max(...late.map(({lateMs}) => lateMs))} ms; own delay ${maxOwnDelayMs} ms`);
		for (const call of calls) {
			const told = JSON.stringify(call);
			t.true(call.arrivals <= 1, `ran twice: ${told}`);
			t.true(call.isLeft || (call.status === 200 && call.isOwn) || (call.status !== 200 && call.status !== 0 && call.arrivals === 0), `neither its own answer nor a true refusal: ${told}`);
		}

		t.true(calls.some(({isLeft, arrivals}) => isLeft && arrivals === 0));
	});
}
