/** What is open at an endpoint, of one host or of several: requests, and prompt tokens that are not prefilled yet. */
export type OpenLoad = {readonly open: number; readonly pendingPromptTokens: number};
