import process from 'node:process';
import {hostLogLine} from './host-log-line.js';
import type {LogFields} from './log-fields.js';

/**
Lines that wait unwritten beyond this are dropped and counted, in bytes: a reader that has stopped must not fill the
memory of a small host.
*/
const maxPendingBytes = 256 * 1024;

/**
Creates the log of an entry host on a platform: one line an event on standard output, never waited for.

`deckwheeld` logs by winston (`daemon/src/lib/create-log.ts`) with the same form of lines. On a platform's small hosts
winston is left out for the time and memory that a start costs: docs/design/on-the-platform.md.
*/
export const createLineLog = (host: string): (event: string, fields?: LogFields) => void => {
	let dropped = 0;
	return (event, fields = {}) => {
		if (process.stdout.writableLength > maxPendingBytes) {
			dropped++;
			return;
		}

		const line = hostLogLine({
			time: new Date().toISOString(), host, event, fields, dropped,
		});
		dropped = 0;
		process.stdout.write(`${line}\n`);
	};
};
