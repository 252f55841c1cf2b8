import type {LoadMessage} from '../wire/load-message.js';
import type {LoadRow} from '../wire/load-row.js';
import type {PaceSample} from '../wire/pace-sample.js';
import type {LoadAnswer} from './load-answer.js';

/** What a host tells a load leader, and what it wants to know; `wants` and `wantsPaces` are those of `loadMessageSchema`. */
type Question = Pick<LoadMessage, 'wants' | 'wantsPaces'> & {
	readonly rows: readonly LoadRow[];
	readonly samples: readonly PaceSample[];
};

/** Asks the load leader at an address. Resolves with `undefined` when no answer came in time that can be read. */
export type LoadClient = (address: string, question: Question) => Promise<LoadAnswer | undefined>;
