import type {LoadRow} from '../wire/load-row.js';

/** What the reply of a load leader says, as its receiver reads it. */
export type LoadAnswer = {
	/** As in `loadReplySchema`. */
	readonly leads: boolean;
	readonly hosts: number;
	/** When the oldest report in the totals was made, in monotonic ms of this host. */
	readonly asOf: number;
	/** The totals by endpoint. An endpoint without a row has nothing open. */
	readonly rows: readonly LoadRow[];
	/** Paces by endpoint; empty where they were not asked for. */
	readonly paces: ReadonlyArray<readonly [endpoint: number, pace: number]>;
};
