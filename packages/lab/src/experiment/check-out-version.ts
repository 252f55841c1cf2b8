import {execFile} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';
import {promisify} from 'node:util';

const run = promisify(execFile);

/** Checks a version out into a folder of its own, which stays for the next experiment. Resolves with the folder. */
export const checkOutVersion = async (repository: string, reference: string, work: string): Promise<string> => {
	const {stdout} = await run('git', ['rev-parse', '--short=12', reference], {cwd: repository});
	const folder = path.join(work, stdout.trim());
	if (!existsSync(folder)) {
		await run('git', ['worktree', 'add', '--detach', folder, reference], {cwd: repository});
	}

	return folder;
};
