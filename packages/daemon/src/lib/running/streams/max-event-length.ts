/** The longest event of an engine's stream that is read, in UTF-16 code units. Events hold some tokens, or the output of a tool at most. */
export const maxEventLength = 1024 * 1024;
