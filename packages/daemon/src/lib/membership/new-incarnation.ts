import {randomBytes} from 'node:crypto';

/** Digits of the start time in base 36: enough until the year 5188, so that names sort by time. */
const timeDigits = 9;

/** A new incarnation of a host: its name, the time of its start, and chance. Later ones sort after earlier ones. */
export const newIncarnation = (host: string, now: number): string =>
	`${host}~${Math.floor(now).toString(36).padStart(timeDigits, '0')}${randomBytes(4).toString('hex')}`;
