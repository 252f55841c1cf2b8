/** Loads `deckwheeld`: what an entry host adds to a request, its throughput, and its routing policies at several loads. */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startFleet} from './lib/start-fleet.js';
import {mix} from './load/mix.js';
import {offerLoad} from './load/offer-load.js';
import {percentiles} from './load/percentiles.js';
import type {Sample} from './load/sample.js';
import {sendTimed} from './load/send-timed.js';

const {values} = parseArgs({
	options: {
		seconds: {type: 'string', default: '6'},
		seed: {type: 'string', default: '1'},
		loads: {type: 'string', default: '0.5,0.9,1.5'},
		routing: {type: 'string', default: 'round_robin,least_in_flight,cost'},
		out: {type: 'string'},
	},
});
const seconds = Number(values.seconds);
const seed = Number(values.seed);
const report: Array<Record<string, unknown>> = [];

const show = (row: Record<string, unknown>): void => {
	report.push(row);
	console.log(Object.entries(row).map(([key, value]) => `${key}=${typeof value === 'number' ? Number(value.toFixed(2)) : String(value)}`).join(' '));
};

/** The added latency of the path: the same request to the engine and through an entry host, in turns. */
const measurePath = async (): Promise<void> => {
	const fleet = await startFleet({halls: {'hall-a': 3}, engine: {msPerToken: 0, slots: 64}, tokens: 100_000_000});
	const headers = {authorization: `Bearer ${fleet.apiKey}`};
	const engine = fleet.engines['hall-a']!.url;
	const direct: number[] = [];
	const through: number[] = [];
	const turns = 300;
	for (let turn = 0; turn < turns; turn++) {
		const request = {prompt: 'hello', maxTokens: 1, priority: 'quick' as const};
		const one = await sendTimed({...request, url: engine, headers: {'x-stream-id': `direct-${turn}`}});
		const other = await sendTimed({...request, url: fleet.entries[turn % 3]!.callers, headers});
		direct.push(one.totalMs);
		through.push(other.totalMs);
	}

	const [a, b] = [percentiles(direct), percentiles(through)];
	show({
		measure: 'path', direct_p50_ms: a.p50, direct_p99_ms: a.p99, through_p50_ms: b.p50, through_p99_ms: b.p99, added_p50_ms: b.p50 - a.p50, added_p99_ms: b.p99 - a.p99,
	});

	// Closed loop, many callers at one host.
	const callers = 32;
	const startedAt = performance.now();
	let count = 0;
	await Promise.all(Array.from({length: callers}, async () => {
		while (performance.now() - startedAt < 4000) {
			const {isWhole} = await sendTimed({
				url: fleet.entries[0]!.callers, headers, prompt: 'hello', maxTokens: 1, priority: 'quick',
			});
			count += isWhole ? 1 : 0;
		}
	}));
	show({measure: 'throughput of one host', callers, requests_per_second: count / ((performance.now() - startedAt) / 1000)});
	await fleet.close();
};

const fast = {slots: 4, msPerToken: 5, msPerPromptToken: 0.05};
const slow = {slots: 4, msPerToken: 15, msPerPromptToken: 0.15};
const meanTokens = (mix.quickShare * mix.quickTokens) + ((1 - mix.quickShare) * mix.slowTokens);

// Timers of the stand-in engine run late, so its capacity is measured: as many requests as its slots, all the time.
const measureCapacity = async (): Promise<number> => {
	const fleet = await startFleet({halls: {'hall-a': 1}, engines: [fast, fast, slow, slow], tokens: 100_000_000});
	const startedAt = performance.now();
	let tokens = 0;
	await Promise.all(Object.values(fleet.engines).flatMap(({url}, engine) => Array.from({length: fast.slots}, async (_, slot) => {
		for (let turn = 0; performance.now() - startedAt < 3000; turn++) {
			const sample = await sendTimed({
				url, headers: {'x-stream-id': `${engine}-${slot}-${turn}`}, prompt: 'question', maxTokens: 30, priority: 'slow',
			});
			tokens += sample.tokens;
		}
	})));
	await fleet.close();
	return tokens / ((performance.now() - startedAt) / 1000);
};

const describe = (samples: readonly Sample[], priority: Sample['priority']): Record<string, number> => {
	const own = samples.filter(sample => sample.priority === priority);
	const first = percentiles(own.flatMap(({firstMs}) => firstMs ?? []));
	const between = percentiles(own.flatMap(({betweenMs}) => betweenMs ?? []));
	return {
		[`${priority}_first_p50`]: first.p50, [`${priority}_first_p95`]: first.p95, [`${priority}_first_p99`]: first.p99, [`${priority}_between_p95`]: between.p95,
	};
};

const measureRouting = async (routing: string, load: number, capacity: number): Promise<void> => {
	const fleet = await startFleet({
		halls: {'hall-a': 3}, engines: [fast, slow, fast, slow], tokens: 1_000_000_000, settings: {routing}, limits: {maxQueued: 40},
	});
	const startedAt = performance.now();
	const samples = await offerLoad({
		urls: fleet.entries.map(({callers}) => callers),
		headers: {authorization: `Bearer ${fleet.apiKey}`},
		requestsPerSecond: load * capacity / meanTokens,
		seconds,
		seed,
	});
	const endsAt = startedAt + (seconds * 1000);
	const refused = samples.filter(({status}) => status === 429);
	// Only what came while the load was on: afterwards the engines run empty.
	const inTime = samples.filter(({isWhole}) => isWhole).flatMap(({tokenTimes}) => tokenTimes.filter(time => time < endsAt));
	show({
		measure: 'routing',
		policy: routing,
		load,
		requests: samples.length,
		...describe(samples, 'quick'),
		...describe(samples, 'slow'),
		refused: refused.length,
		refusal_p99_ms: percentiles(refused.map(({totalMs}) => totalMs)).p99,
		goodput_share: inTime.length / seconds / capacity,
	});
	await fleet.close();
};

await measurePath();
const capacity = await measureCapacity();
show({measure: 'capacity of the engines', tokens_per_second: capacity});
for (const load of values.loads.split(',').map(Number)) {
	for (const routing of values.routing.split(',')) {
		await measureRouting(routing, load, capacity);
	}
}

if (values.out !== undefined) {
	await writeFile(values.out, `${JSON.stringify(report, undefined, '\t')}\n`);
}

