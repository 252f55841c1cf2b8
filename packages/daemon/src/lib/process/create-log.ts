import process from 'node:process';
import {formatLogLine, ignoreErrorEvents, type LogFields} from '@deckwheel/host-kit';
import winston from 'winston';
import type {Log} from './leveled-log.js';

/**
Creates the log of `deckwheeld`: one line of key=value pairs an event, on standard output, by winston.

The entry host on a platform writes the same form of lines without winston (`createLineLog` in host-kit says why).
*/
export const createLog = (level: string, common: LogFields): Log => {
	// The transport writes to the streams of the process, and listens for no errors of theirs.
	ignoreErrorEvents(process.stdout, process.stderr);
	const line = winston.format.printf(({level: lineLevel, message, timestamp, ...fields}) =>
		formatLogLine({
			time: String(timestamp), level: lineLevel, event: String(message), ...fields as LogFields,
		}));
	const logger = winston.createLogger({
		level,
		defaultMeta: common,
		format: winston.format.combine(winston.format.timestamp(), line),
		transports: [new winston.transports.Console()],
	});
	return (eventLevel, event, fields = {}) => {
		logger.log(eventLevel, event, fields);
	};
};
