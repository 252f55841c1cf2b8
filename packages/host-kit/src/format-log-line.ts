import type {LogFields} from './log-fields.js';

// Plain values stay as they are, so that a line can be searched by `key=value`; all others are quoted as JSON.
const quote = (value: string | number | boolean): string => {
	const text = String(value);
	return /^[\w.:/#~@+-]+$/.test(text) ? text : JSON.stringify(text);
};

/** Writes fields as one line of key=value pairs, without those that are `undefined`. */
export const formatLogLine = (fields: LogFields): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${quote(value!)}`)
		.join(' ');
