/** A character that node:http sends in no target: white space, a control character, or one beyond a byte. */
const forbiddenCharacter = /[^\u0021-\u00FF]/;

/** Whether node:http sends a request to a target; it throws on any other text. Pure. */
export const isRequestTarget = (text: string): boolean => !forbiddenCharacter.test(text);
