/** The fields of one log line. Never put answer text, an API key or a token of a caller into one. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
