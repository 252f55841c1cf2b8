/** The fields of one log line. A field must never contain the text of a response, an API key or a caller's token. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
