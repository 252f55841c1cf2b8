/**
Compares two versions of the entry host on the same days and seeds, and prints the mean differences with their 95 % intervals.

`npm run experiment -- --bench PROGRAM --site FILE --base REF --with REF --days A,B --seeds 1..4`: `--small` plays small twins, `--jobs`
says how many days are played at once, `--work` where versions and outputs are kept. It goes on where it was cut off.
*/
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {checkOutVersion} from './experiment/check-out-version.js';
import type {DifferenceRow} from './experiment/difference-row.js';
import {drawDifferences} from './experiment/draw-differences.js';
import {pairedDifference} from './experiment/paired-difference.js';
import {playDay} from './experiment/play-day.js';
import type {PlayFigures} from './experiment/play-figures.js';
import type {Play} from './experiment/play.js';
import {readSeeds} from './experiment/read-seeds.js';

const {values} = parseArgs({
	options: {
		bench: {type: 'string'},
		site: {type: 'string'},
		base: {type: 'string', default: 'HEAD~1'},
		with: {type: 'string', default: 'HEAD'},
		days: {type: 'string', default: 'quiet-1'},
		seeds: {type: 'string', default: '1..4'},
		jobs: {type: 'string', default: '4'},
		small: {type: 'boolean', default: false},
		work: {type: 'string', default: '../deckwheel-experiments'},
	},
});

const figures = ['worth', 'served', 'refused', 'failed', 'calls'] as const;

type Pair = {readonly day: string; readonly base: PlayFigures; readonly with: PlayFigures};

const isDefined = <T>(value: T | undefined): value is T => value !== undefined;

/** Does all tasks, so many at once. */
const doAll = async <T>(tasks: ReadonlyArray<() => Promise<T>>, atOnce: number): Promise<readonly T[]> => {
	const results: T[] = [];
	const queue = [...tasks.entries()];
	const work = async (): Promise<void> => {
		for (let next = queue.shift(); next; next = queue.shift()) {
			const [index, task] = next;
			results[index] = await task();
		}
	};

	await Promise.all(Array.from({length: atOnce}, work));
	return results;
};

const rowsOf = (day: string, pairs: readonly Pair[]): readonly DifferenceRow[] => figures.map(figure => {
	const {mean, halfWidth} = pairedDifference(pairs.map(pair => pair.with[figure] - pair.base[figure]));
	return {
		day, figure, mean, low: mean - halfWidth, high: mean + halfWidth,
	};
});

const show = ({day, figure, mean, low, high}: DifferenceRow): void => {
	const round = (value: number): string => value.toFixed(figure === 'calls' ? 0 : 3);
	const isClear = low > 0 || high < 0;
	console.log(`day=${day} figure=${figure} difference=${round(mean)} low=${round(low)} high=${round(high)} clear=${isClear}`);
};

const compare = async (bench: string, site: string): Promise<void> => {
	const work = path.resolve(values.work);
	const folders = {base: await checkOutVersion(process.cwd(), values.base, work), with: await checkOutVersion(process.cwd(), values.with, work)};
	// Named by commits: a branch that moved on is another experiment.
	const versions = `${path.basename(folders.base)}-${path.basename(folders.with)}`;
	const out = path.join(work, `${versions}-${path.basename(site, '.toml')}${values.small ? '-small' : ''}`);
	await mkdir(out, {recursive: true});
	const options = {
		bench: path.resolve(bench), site: path.resolve(site), out, extra: values.small ? ['--small'] : [],
	};
	const days = values.days.split(',').map(day => day.endsWith('.toml') ? path.resolve(day) : day);
	const played = async (play: Play): Promise<PlayFigures | undefined> => {
		const found = await playDay(play, options);
		console.error(`version=${play.version} day=${path.basename(play.day)} seed=${play.seed} worth=${found?.worth ?? 'none'} broken=${found?.broken ?? ''}`);
		return found;
	};

	const pairs = await doAll(days.flatMap(day => readSeeds(values.seeds).map(seed => async (): Promise<Pair | undefined> => {
		const base = await played({
			folder: folders.base, version: 'base', day, seed,
		});
		const changed = await played({
			folder: folders.with, version: 'with', day, seed,
		});
		return base && changed && {day: path.basename(day, '.toml'), base, with: changed};
	})), Number(values.jobs));
	const whole = pairs.filter(pair => isDefined(pair));
	const names = [...new Set(whole.map(({day}) => day))];
	const rows = [...names.flatMap(name => rowsOf(name, whole.filter(({day}) => day === name))), ...rowsOf('all', whole)];
	for (const row of rows) {
		show(row);
	}

	const chart = path.join(out, 'differences.svg');
	await writeFile(chart, await drawDifferences(rows, `${values.with} less ${values.base}, ${whole.length} pairs`));
	console.log(`chart=${chart}`);
};

if (values.bench && values.site) {
	await compare(values.bench, values.site);
} else {
	console.error('experiment: --bench and --site are needed');
	process.exitCode = 2;
}
