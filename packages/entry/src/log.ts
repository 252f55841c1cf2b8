/** Writes one line of key=value pairs for an event. It never blocks and never throws. */
export type Log = (event: string, fields?: Readonly<Record<string, string | number | boolean | undefined>>) => void;
