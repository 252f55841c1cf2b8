import type {StoredResponse, RunOutcome} from '@deckwheel/ledger';

/** How a run ended, as its runner saw it. */
export type RunEnd = {
	readonly outcome: RunOutcome;
	readonly served: number;
	readonly outputTokens: number;
	readonly answer?: StoredResponse;
};
