import type {ServerResponse} from 'node:http';

/** The requests of callers that are open at this host. */
export type RequestCounter = {
	/** Counts a request until its answer ended or its connection closed. */
	readonly add: (res: ServerResponse) => void;
	readonly count: () => number;
	/** Resolves once none is open, or at the deadline (monotonic ms). */
	readonly untilNone: (deadline: number) => Promise<void>;
};
