import winston from 'winston';
import type {LogFields} from './log-fields.js';
import type {Log} from './log.js';

const quote = (value: string | number | boolean): string => {
	const text = String(value);
	return /^[\w.:/#~@+-]+$/.test(text) ? text : JSON.stringify(text);
};

const toLine = (fields: LogFields): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${quote(value!)}`)
		.join(' ');

/** Creates the log: one line of key=value pairs an event, on standard output. */
export const createLog = (level: string, common: LogFields): Log => {
	const line = winston.format.printf(({level: lineLevel, message, timestamp, ...fields}) =>
		toLine({
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
