import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {EntryProcess} from './entry-process.js';

const mainPath = fileURLToPath(import.meta.resolve('@deckwheel/daemon/main'));

const fieldOf = (line: string, name: string): string => new RegExp(`\\b${name}=(\\S+)`).exec(line)?.[1] ?? '';

/** Starts a daemon as a process and waits until it is ready. */
export const spawnEntry = async (folder: string, settings: {readonly host: string; readonly hall: string}): Promise<EntryProcess> => {
	const path = join(folder, `${settings.host}.json`);
	await writeFile(path, JSON.stringify(settings));
	const child = spawn(process.execPath, [mainPath, '--settings', path], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines: string[] = [];
	const watchers = new Set<{readonly text: string; readonly resolve: (line: string) => void}>();
	createInterface(child.stdout).on('line', line => {
		lines.push(line);
		for (const watcher of watchers) {
			if (line.includes(watcher.text)) {
				watchers.delete(watcher);
				watcher.resolve(line);
			}
		}
	});
	const exited = (async () => {
		const [code, signal] = await once(child, 'exit') as [number | undefined, string | undefined];
		return code ?? signal ?? 'unknown';
	})();
	const logged = async (text: string): Promise<string> => {
		const found = lines.find(line => line.includes(text));
		return found ?? new Promise(resolve => {
			watchers.add({text, resolve});
		});
	};

	const ready = await Promise.race([logged('event=ready'), exited]);
	if (typeof ready !== 'string' || !ready.includes('event=ready')) {
		throw new Error(`${settings.host} did not start: ${ready}`);
	}

	return {
		host: settings.host,
		hall: settings.hall,
		child,
		callers: `http://${fieldOf(ready, 'callers')}`,
		operators: `http://${fieldOf(ready, 'operators')}`,
		peers: fieldOf(ready, 'peers'),
		lines,
		logged,
		exited,
	};
};
