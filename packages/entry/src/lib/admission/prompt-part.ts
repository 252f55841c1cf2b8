/** One part of a prompt, with its size in tokens. Requests may share parts; the last part of a prompt is the request's own. */
export type PromptPart = {readonly id: string; readonly tokens: number};
