/** Characters that count as a token. */
export const charsPerToken = 4;
