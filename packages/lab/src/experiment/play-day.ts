import {execFile} from 'node:child_process';
import {existsSync} from 'node:fs';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {promisify} from 'node:util';
import type {PlayFigures} from './play-figures.js';
import type {Play} from './play.js';
import {readPlay} from './read-play.js';

const run = promisify(execFile);

/** The most that a play prints, in bytes. */
const maxOutputBytes = 64 * 1024 * 1024;

type Options = {
	/** The program that plays days. */
	readonly bench: string;
	readonly site: string;
	/** Further arguments of each play. */
	readonly extra: readonly string[];
	/** Where the outputs are kept. */
	readonly out: string;
};

const fileOf = ({version, day, seed}: Play, out: string): string => path.join(out, `${version}.${path.basename(day, '.toml')}.${seed}.txt`);

const readKept = async (file: string): Promise<PlayFigures | undefined> =>
	existsSync(file) ? readPlay(await readFile(file, 'utf8')) : undefined;

/** Plays a day and keeps what it printed; one that was played whole before is not played again. `undefined` where it did not end. */
export const playDay = async (play: Play, {bench, site, extra, out}: Options): Promise<PlayFigures | undefined> => {
	const file = fileOf(play, out);
	const kept = await readKept(file);
	if (kept) {
		return kept;
	}

	const arguments_ = ['run', site, play.day, '--seed', String(play.seed), '--jobs', '1', '--why', `experiment: ${play.version}`, ...extra];
	const {stdout} = await run(bench, arguments_, {cwd: play.folder, maxBuffer: maxOutputBytes});
	await writeFile(file, stdout);
	return readPlay(stdout);
};
