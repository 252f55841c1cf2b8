import {formatLogLine} from './format-log-line.js';
import type {LogFields} from './log-fields.js';

type Inputs = {
	/** As an ISO date. */
	readonly time: string;
	readonly host: string;
	readonly event: string;
	readonly fields: LogFields;
	/** Lines that were not written before this one. */
	readonly dropped: number;
};

/**
Writes one event of a host as a line. A field may be called `host` as well (that of a request): the line then has both, the
host's own first.
*/
export const hostLogLine = ({time, host, event, fields, dropped}: Inputs): string => [
	formatLogLine({time, host, event}),
	formatLogLine({...fields, dropped: dropped > 0 ? dropped : undefined}),
].filter(Boolean).join(' ');
