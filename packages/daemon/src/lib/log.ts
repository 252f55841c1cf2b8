import type {LogFields} from './log-fields.js';

/** Writes one line for an event. */
export type Log = (level: 'error' | 'warn' | 'info' | 'debug', event: string, fields?: LogFields) => void;
