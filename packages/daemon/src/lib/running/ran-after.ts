import type {RunState} from '@deckwheel/core';
import type {RunEnd} from './run-end.js';

/** Decides whether a request ran, by how its last run ended. Pure. */
export const ranAfter = ({outcome}: Pick<RunEnd, 'outcome'>): RunState => {
	if (outcome === 'not_run') {
		return 'not_run';
	}

	return outcome === 'lost' ? 'unknown' : 'ran';
};
