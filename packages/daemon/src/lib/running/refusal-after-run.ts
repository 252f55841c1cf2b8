import type {Refusal} from '@deckwheel/core';
import type {RunEnd} from './run-end.js';
import {runRefusals} from './run-refusals.js';

/** Decides what a caller is told whose run did not finish and is not made again. Pure. */
export const refusalAfterRun = ({outcome}: Pick<RunEnd, 'outcome'>, isRepeatable: boolean): Refusal => {
	switch (outcome) {
		case 'not_run': {
			return runRefusals.endpointFailed('not_run');
		}

		case 'lost': {
			return isRepeatable ? runRefusals.endpointFailed('unknown') : runRefusals.outcomeUnknown;
		}

		default: {
			return runRefusals.endpointFailed('ran');
		}
	}
};
