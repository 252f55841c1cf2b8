/** What a caller got for a chat request. */
export type ChatAnswer = {
	readonly status: number;
	/** The content, put together from the stream. */
	readonly text: string;
	/** Whether the stream came to its proper end. */
	readonly isWhole: boolean;
	readonly key: string;
	readonly totalTokens: number;
	/** The refusal, if it was one. */
	readonly error?: {readonly code: string; readonly ran: string; readonly retry_after_seconds?: number};
};
