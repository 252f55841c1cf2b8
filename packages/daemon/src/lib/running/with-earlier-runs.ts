import type {Refusal, RunState} from '@deckwheel/core';

/** Keeps a refusal of the last try from denying that an earlier one ran. Pure. */
export const withEarlierRuns = (refusal: Refusal | undefined, ran: RunState): Refusal | undefined =>
	refusal?.ran === 'not_run' && ran !== 'not_run' ? {...refusal, ran} : refusal;
