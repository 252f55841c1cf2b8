import type {LogFields} from '@deckwheel/host-kit';

/** Writes one line of key=value pairs for an event. It never blocks and never throws. */
export type Log = (event: string, fields?: LogFields) => void;
