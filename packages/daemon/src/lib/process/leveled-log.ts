import type {LogFields} from '@deckwheel/host-kit';

/** Writes one line for an event. */
export type Log = (level: 'error' | 'warn' | 'info' | 'debug', event: string, fields?: LogFields) => void;
