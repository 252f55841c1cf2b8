import type {BlockList} from './blocking/block-list.js';
import {blockPhaseAt} from './blocking/block-phase-at.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';

/** Records updates to what is known of subjects; returns those of them whose own crashes block them since then, or no longer do. */
export type RecordSuspicions = (updates: ReadonlyMap<string, Suspicion>) => readonly string[];

type Options = {
	readonly table: SuspicionTable;
	readonly blockList: Pick<BlockList, 'review'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the function that adds suspicions to the table and has the blocks reviewed. */
export const createSuspicionRecorder = ({table, blockList, now}: Options): RecordSuspicions => {
	const record = (subject: string, update: Suspicion): boolean => {
		const before = blockPhaseAt(table.get(subject), now());
		table.merge(subject, update);
		return blockPhaseAt(table.get(subject), now()) !== before;
	};

	return updates => {
		const changed = [...updates].filter(([subject, update]) => record(subject, update)).map(([subject]) => subject);
		blockList.review();
		return changed;
	};
};
