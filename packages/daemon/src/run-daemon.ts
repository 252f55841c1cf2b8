import {parseArgs} from 'node:util';
import {formatIssue} from '@deckwheel/core';
import {readSettingsAtStart, rereadSettings} from '@deckwheel/host-kit';
import type {ReceivedSignals} from '@deckwheel/host-kit/receive-signals';
import {createLog} from './lib/process/create-log.js';
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

/** Checks the settings of a file once. Returns the exit code. */
const check = (file: string): number => {
	const settings = loadDaemonSettings(file);
	if (settings.ok) {
		console.log(`${file}: no faults`);
		return 0;
	}

	for (const fault of settings.error) {
		console.error(`${file}: ${formatIssue(fault)}`);
	}

	return exitFaulty;
};

/** Runs until a planned stop. Returns the exit code. */
const runUntilStopped = async (file: string, signals: ReceivedSignals, stopSignal: AbortSignal): Promise<number> => {
	const read = () => loadDaemonSettings(file);
	const logAtStart = createLog('info', {});
	const settings = await readSettingsAtStart({
		file, read, log(event, fields) {
			logAtStart(event === 'settings_invalid' ? 'error' : 'warn', event, fields);
		},
	});
	if (!settings) {
		return exitFaulty;
	}

	const daemon = await startDaemon(settings, stopSignal);
	const log = createLog(settings.logLevel, {host: settings.host, hall: settings.hall});
	signals.on('SIGHUP', () => {
		void rereadSettings({
			read, log(event, fields) {
				log('info', event, fields);
			},
		});
	});
	await daemon?.stopped;
	return 0;
};

/**
Runs `deckwheeld` by the arguments of its command line: reads the settings, starts the daemon, and stops it as planned on a signal.

@param owner The process. Everything that is not about it is `startDaemon`.
*/
export const runDaemon = async (owner: NodeJS.Process, signals: ReceivedSignals): Promise<void> => {
	const stopping = new AbortController();
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		signals.on(signal, () => {
			stopping.abort();
		});
	}

	const options = readArguments();
	if (options?.help) {
		console.log(usage);
	} else if (options?.settings === undefined) {
		console.error(usage);
		owner.exitCode = exitFaulty;
	} else if (options.check) {
		owner.exitCode = check(options.settings);
	} else {
		owner.exit(await runUntilStopped(options.settings, signals, stopping.signal));
	}
};
