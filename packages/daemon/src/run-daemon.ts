import {parseArgs} from 'node:util';
import {awaitSettings} from '@deckwheel/host-kit';
import type {ReceivedSignals} from '@deckwheel/host-kit/receive-signals';
import type {ValidationIssue} from '@deckwheel/core';
import type {DaemonSettings} from './daemon-settings.js';
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

const formatFault = ({path, message}: ValidationIssue): string => `${path}: ${message}`;

/** Checks the settings of a file once. Returns the exit code. */
const check = (file: string): number => {
	const settings = loadDaemonSettings(file);
	if (settings.ok) {
		console.log(`${file}: no faults`);
		return 0;
	}

	for (const fault of settings.error) {
		console.error(`${file}: ${formatFault(fault)}`);
	}

	return exitFaulty;
};

const readAtStart = async (file: string): Promise<DaemonSettings | undefined> => {
	const log = createLog('info', {});
	const settings = await awaitSettings(() => loadDaemonSettings(file), {
		onUnread(faults) {
			log('warn', 'settings_unread', {file, faults: faults.map(fault => formatFault(fault)).join('; ')});
		},
	});
	if (settings.ok) {
		return settings.value;
	}

	for (const fault of settings.error) {
		log('error', 'settings_invalid', {file, path: fault.path, message: fault.message});
		console.error(`${file}: ${formatFault(fault)}`);
	}

	return undefined;
};

/** Runs until a planned stop. Returns the exit code. */
const runUntilStopped = async (file: string, signals: ReceivedSignals, stopSignal: AbortSignal): Promise<number> => {
	const settings = await readAtStart(file);
	if (!settings) {
		return exitFaulty;
	}

	const daemon = await startDaemon(settings, stopSignal);
	const log = createLog(settings.logLevel, {host: settings.host, hall: settings.hall});
	signals.on('SIGHUP', async () => {
		const reread = await awaitSettings(() => loadDaemonSettings(file));
		log('info', 'settings_reread', reread.ok ? {isSound: true} : {isSound: false, faults: reread.error.map(fault => formatFault(fault)).join('; ')});
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
