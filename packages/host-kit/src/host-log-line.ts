import {formatLogLine} from './format-log-line.js';
import type {LogFields} from './log-fields.js';

type HostLogEvent = {
	/** Time of the event, in ISO 8601. */
	readonly time: string;
	/** The host that logs the event; `undefined` before it is known. */
	readonly host: string | undefined;
	readonly event: string;
	readonly fields: LogFields;
	/** Number of lines that were dropped since the last line that was written. */
	readonly dropped: number;
};

/**
Formats one event of a host as a log line. If a field is also named `host` (the Host header of a request), the line has both
values, and that of the logging host comes first.
*/
export const hostLogLine = ({time, host, event, fields, dropped}: HostLogEvent): string => [
	formatLogLine({time, host, event}),
	formatLogLine({...fields, dropped: dropped > 0 ? dropped : undefined}),
].filter(Boolean).join(' ');
