import type {StoredResponse, RunOutcome} from '@deckwheel/ledger';

/** How a run ended, as its runner saw it. */
export type RunEnd = {
	readonly outcome: RunOutcome;
	/**
	Of a lost run. `unstated_end`: an answer came with neither a length nor chunks, so that nothing tells whether it is whole. `answer_too_long`: more came
	than an answer of a service may have (`maxAnswerBytes`), and the connection was closed.
	*/
	readonly reason?: 'unstated_end' | 'answer_too_long';
	readonly served: number;
	readonly outputTokens: number;
	readonly answer?: StoredResponse;
};
