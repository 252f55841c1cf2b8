/** A character that node:http writes in no header: each one is written as one byte, and control characters other than the tab are no part of a value (RFC 9110, section 5.5). */
const forbiddenCharacter = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** Whether node:http writes a text as the value of a header or as the reason phrase of a status line; it throws on any other text. Pure. */
export const isHeaderValue = (text: string): boolean => !forbiddenCharacter.test(text);
