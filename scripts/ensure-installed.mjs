// Installs the locked packages when they are missing, so that one README command is enough on a fresh machine.
import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import process from 'node:process';

if (!existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))) {
	const result = spawnSync('npm', ['ci'], {stdio: 'inherit', cwd: new URL('..', import.meta.url)});
	process.exitCode = result.status ?? 1;
}
