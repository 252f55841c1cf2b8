/** The load of other hosts at an endpoint. */
export type OthersLoad = {readonly open: number; readonly pendingPromptTokens: number};
