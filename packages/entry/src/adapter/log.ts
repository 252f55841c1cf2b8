import type {LogFields} from '@deckwheel/host-kit';

/** Writes one log line of key=value pairs for an event. Never blocks and never throws. */
export type Log = (event: string, fields?: LogFields) => void;
