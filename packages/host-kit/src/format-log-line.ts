import type {LogFields} from './log-fields.js';

// Plain values are not quoted, so that log lines can be searched for `key=value`. All other values are quoted as JSON strings.
const formatValue = (value: string | number | boolean): string => {
	const text = String(value);
	return /^[\w.:/#~@+-]+$/.test(text) ? text : JSON.stringify(text);
};

/** Formats fields as one line of `key=value` pairs. Fields that are `undefined` are left out. */
export const formatLogLine = (fields: LogFields): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value!)}`)
		.join(' ');
