import process from 'node:process';
import {hostLogLine} from './host-log-line.js';
import type {LogFields} from './log-fields.js';

/**
Maximum size of log lines that standard output has not yet written, in bytes. Further lines are dropped and counted, so that a
stalled reader of the log does not fill the memory of a small host.
*/
const maxPendingBytes = 256 * 1024;

/**
Creates the log of an entry host on a platform. The log writes each event as one line to standard output and does not await the
write.

`deckwheeld` logs with winston (`daemon/src/lib/process/create-log.ts`) in the same line format. The small hosts of a platform do
without winston, because loading winston costs time and memory at start: docs/design/on-the-platform.md.

@param host The id of the host, which every line names.
*/
export const createLineLog = (host: string): (event: string, fields?: LogFields) => void => {
	let droppedLines = 0;
	return (event, fields = {}) => {
		if (process.stdout.writableLength > maxPendingBytes) {
			droppedLines++;
			return;
		}

		const line = hostLogLine({
			time: new Date().toISOString(), host, event, fields, dropped: droppedLines,
		});
		droppedLines = 0;
		process.stdout.write(`${line}\n`);
	};
};
