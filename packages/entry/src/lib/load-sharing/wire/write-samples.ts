import type {PaceSample} from './pace-sample.js';

/** Writes samples as a flat list: hash, kind (0 for an event, 1 for a response), and hundredths of a ms. */
export const writeSamples = (samples: readonly PaceSample[]): number[] =>
	samples.flatMap(({endpoint, kind, ms}) => [endpoint, kind === 'event' ? 0 : 1, Math.round(ms * 100)]);
