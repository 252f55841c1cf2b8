/** The longest event of an engine's stream that is read, in UTF-16 code units. Events hold some tokens, or the output of a tool: none is longer than an answer. */
export const maxEventLength = 32 * 1024 * 1024;
