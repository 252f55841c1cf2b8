import process from 'node:process';
import type {EventEmitter} from 'node:events';
import {hostLogLine} from './host-log-line.js';
import {ignoreErrorEvents} from './ignore-error-events.js';
import type {LogFields} from './log-fields.js';

/**
Maximum size of log lines that standard output has not yet written, in bytes. Further lines are dropped and counted, so that a
stalled reader of the log does not fill the memory of a small host.
*/
const maxPendingBytes = 256 * 1024;

/** The part of standard output that `createLineLog` uses. */
type LogOutput = Pick<EventEmitter, 'on' | 'listeners'> & {
	readonly writableLength: number;
	readonly write: (text: string, onWritten: (error?: unknown) => void) => unknown;
};

/**
Creates the log of an entry host on a platform. The log writes each event as one line to standard output and does not await the
write. A line that cannot be written, since the log has no reader or no room, counts as dropped.

`deckwheeld` logs with winston (`daemon/src/lib/process/create-log.ts`) in the same line format. The small hosts of a platform do
without winston, because loading winston costs time and memory at start: docs/design/on-the-platform.md.

@param host The id of the host, which every line names; `undefined` before it is known.
*/
export const createLineLog = (host: string | undefined, output: LogOutput = process.stdout): (event: string, fields?: LogFields) => void => {
	let droppedLines = 0;
	// An error that ends the process is written to standard error, which often has the same reader.
	ignoreErrorEvents(output, process.stderr);
	return (event, fields = {}) => {
		if (output.writableLength > maxPendingBytes) {
			droppedLines++;
			return;
		}

		const dropped = droppedLines;
		const line = hostLogLine({
			time: new Date().toISOString(), host, event, fields, dropped,
		});
		droppedLines = 0;
		output.write(`${line}\n`, error => {
			if (error) {
				droppedLines += dropped + 1;
			}
		});
	};
};
