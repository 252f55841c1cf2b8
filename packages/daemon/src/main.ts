#!/usr/bin/env node
/**
`deckwheeld`: reads the settings, starts the daemon, and stops it as planned on a signal. Owns the process; everything else is
`startDaemon`.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {loadDaemonSettings} from './load-daemon-settings.js';
import {startDaemon} from './start-daemon.js';

const usage = `deckwheeld: an entry host of a deckwheel fleet

Usage: deckwheeld --settings FILE [--check]

  --settings FILE  the settings, in JSON (see docs/OPERATIONS.md)
  --check          check the settings and exit
  --help           show this

Exit codes: 0 stopped as planned, 1 broken invariant, 2 faulty settings or arguments.
`;

/** Exit code: faulty settings or arguments. */
const exitFaulty = 2;

const readArguments = () => {
	try {
		return parseArgs({options: {settings: {type: 'string'}, check: {type: 'boolean'}, help: {type: 'boolean'}}}).values;
	} catch (error) {
		console.error((error as Error).message);
		return undefined;
	}
};

const run = async (path: string, isCheckOnly: boolean): Promise<void> => {
	const settings = loadDaemonSettings(path);
	if (!settings.ok) {
		for (const fault of settings.error) {
			console.error(`${path}: ${fault.path}: ${fault.message}`);
		}

		process.exitCode = exitFaulty;
		return;
	}

	if (isCheckOnly) {
		console.log(`${path}: no faults`);
		return;
	}

	const daemon = await startDaemon(settings.value);
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void daemon.stop();
		});
	}

	await daemon.stopped;
	process.exit(0);
};

const options = readArguments();
if (options?.help) {
	console.log(usage);
} else if (options?.settings === undefined) {
	console.error(usage);
	process.exitCode = exitFaulty;
} else {
	await run(options.settings, options.check === true);
}
