/** Measures what idle daemons cost, by the number of hosts in their hall: processor time, memory, calls to the platform. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import got from 'got';
import type {EntryProcess} from './lib/entry-process.js';
import {startFleet} from './lib/start-fleet.js';

const {values} = parseArgs({options: {hosts: {type: 'string', default: '4,8,16'}, seconds: {type: 'string', default: '8'}}});

/** Linux counts processor time in these, in seconds. */
const tickSeconds = 0.01;

/** Linux counts memory in pages of this size. */
const bytesPerPage = 4096;

/** For the output. */
const bytesPerMegabyte = 1e6;

type Usage = {readonly cpuSeconds: number; readonly memory: number};

const usageOf = async ({child}: EntryProcess): Promise<Usage> => {
	const stat = await readFile(`/proc/${child.pid}/stat`, 'utf8');
	const statm = await readFile(`/proc/${child.pid}/statm`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) * tickSeconds, memory: Number(statm.split(' ')[1]) * bytesPerPage};
};

type Counts = {readonly reads: number; readonly writes: number; readonly watches: number};

/** What idle daemons cost, by the number of hosts in their hall. */
const measure = async (hosts: number, seconds: number): Promise<void> => {
	const fleet = await startFleet({halls: {'hall-a': hosts}, settings: {heartbeatMs: 500, flushMs: 2000}});
	await delay(2000);
	const countsOf = async (): Promise<Counts> => got(`${fleet.store.url}/control/counts`).json<Counts>();
	const before = await Promise.all(fleet.entries.map(async entry => usageOf(entry)));
	const countsBefore = await countsOf();
	await delay(seconds * 1000);
	const after = await Promise.all(fleet.entries.map(async entry => usageOf(entry)));
	const countsAfter = await countsOf();
	const cpu = after.map(({cpuSeconds}, index) => 100 * (cpuSeconds - before[index]!.cpuSeconds) / seconds);
	const memory = after.map(usage => usage.memory / bytesPerMegabyte);
	const mean = (numbers: readonly number[]): number => numbers.reduce((a, b) => a + b, 0) / numbers.length;
	const perSecond = (name: keyof Counts): number => (countsAfter[name] - countsBefore[name]) / seconds;
	const row = {
		hosts,
		core_percent_mean: mean(cpu),
		core_percent_most: Math.max(...cpu),
		resident_mb_mean: mean(memory),
		store_reads_per_second: perSecond('reads'),
		store_writes_per_second: perSecond('writes'),
		watches_per_second: perSecond('watches'),
	};
	console.log(Object.entries(row).map(([key, value]) => `${key}=${Number(value.toFixed(2))}`).join(' '));
	await fleet.close();
};

for (const hosts of values.hosts.split(',').map(Number)) {
	await measure(hosts, Number(values.seconds));
}

process.exitCode = 0;
