/**
Guards against hosts that keep in memory what they served: the objects of requests that are reachable do not grow with the number of requests, whoever leaves and
however often the host's thread stands still. Callers and endpoint have a thread, and so a heap, of their own.

`ENDED_SOAK_SEED` and `ENDED_SOAK_ROUNDS` play other courses.
*/
import {once} from 'node:events';
import {ClientRequest, IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {queryObjects} from 'node:v8';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {standStill} from '@deckwheel/stand-ins';
import {createRandom} from './lib/create-random.js';
import type {ImpatientCall, ImpatientCourse} from './lib/impatient-course.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const {ENDED_SOAK_SEED = '80', ENDED_SOAK_ROUNDS = '4'} = process.env;
const requestCount = 500;

/** Requests whose end a host has not noted yet when their callers are gone, at most. What stays of each request would be many times more. */
const maxOpen = requestCount / 10;

const countReachable = (): number => Math.max(...[ClientRequest, IncomingMessage, ServerResponse].map(type => queryObjects(type, {format: 'count'})));

/** Plays one round of callers at a host, who use an endpoint that lives as long as they do. Returns how many got an answer. */
const playRound = async ({entry, callers}: Awaited<ReturnType<typeof startHost>>, course: ImpatientCourse, stillMs: () => number): Promise<number> => {
	const worker = new Worker(new URL('lib/impatient-callers.js', import.meta.url), {workerData: course});
	const [port] = await once(worker, 'message') as [number];
	entry.listEndpoints([{
		id: 'e', instance: String(course.seed), hall: 'hall-a', address: `127.0.0.1:${port}`, serves: ['s'], slots: 1000, isLeaving: false,
	}]);
	const ended = once(worker, 'message') as Promise<[{readonly calls: readonly ImpatientCall[]}]>;
	worker.postMessage(callers);
	let answered: number | undefined;
	const noteEnd = async (): Promise<void> => {
		const [{calls}] = await ended;
		answered = calls.filter(({status}) => status === 200).length;
	};

	const hasEnded = noteEnd();
	const isPlaying = (): boolean => answered === undefined;
	while (isPlaying()) {
		await Promise.race([delay(200), hasEnded]);
		standStill(stillMs());
	}

	await worker.terminate();
	return answered!;
};

for (const hasStops of [false, true]) {
	test.serial(`a host keeps more in memory the more requests it has served, ${hasStops ? 'with stops' : 'calm'}, seed ${ENDED_SOAK_SEED}`, async t => {
		const random = createRandom(Number(ENDED_SOAK_SEED));
		const host = await startHost(createMemoryRightsStore());
		t.teardown(host.entry.kill);
		const reachable: number[] = [];
		let answered = 0;
		for (let round = 0; round < Number(ENDED_SOAK_ROUNDS); round++) {
			host.entry.configure(makeConfig({version: round + 1, routes: [makeRoute({kind: random() < 0.5 ? 'once' : 'repeatable'})]}));
			answered += await playRound(host, {
				seed: Number(ENDED_SOAK_SEED) + round, requestCount, everyMs: 2, patienceMs: 200, stayingShare: 0.7, isConnectionKept: random() < 0.5,
			}, () => hasStops ? random() * 400 : 0);
			host.events.length = 0;
			reachable.push(countReachable());
		}

		t.true(answered > Number(ENDED_SOAK_ROUNDS) * requestCount / 4, `only ${answered} answered`);
		t.true(reachable.at(-1)! <= reachable[0]! + maxOpen, `reachable after each round of ${requestCount} requests: ${reachable.join(', ')}; ${answered} answered`);
		t.log(`reachable after each round of ${requestCount} requests: ${reachable.join(', ')}; ${answered} answered; heap ${Math.round(process.memoryUsage().heapUsed / 1e6)} MB`);
	});
}
