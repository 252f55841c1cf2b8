import type {LoadRow} from '../wire/load-row.js';

/** Adds up what several sources reported: the hosts of a hall, or the load leaders of other halls. */
export type LoadBoard = {
	/** Replaces what a source reported by its latest report, which counts up to `until`. Times are monotonic ms. */
	readonly report: (source: string, rows: readonly LoadRow[], times: {readonly at: number; readonly until: number}) => void;
	/** Removes the reports that no longer count. */
	readonly expire: () => void;
	/** The sums by endpoint. An endpoint at which nothing is open may be absent. */
	readonly totals: () => ReadonlyMap<number, LoadRow>;
	/** The number of sources whose reports count. */
	readonly sources: () => number;
	/** When the oldest report that counts was made, in monotonic ms; infinity without reports. */
	readonly oldestAt: () => number;
};
