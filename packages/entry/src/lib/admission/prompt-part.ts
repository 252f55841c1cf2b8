/** One part of a prompt. Parts are shared between requests; the last belongs to the request itself. */
export type PromptPart = {readonly id: string; readonly tokens: number};
