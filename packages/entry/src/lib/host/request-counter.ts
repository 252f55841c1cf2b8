import type {ServerResponse} from 'node:http';

/** Counts the open requests of callers at this host. */
export type RequestCounter = {
	/** Counts a request as open until its response has ended or its connection has closed. */
	readonly add: (res: ServerResponse) => void;
	/** The number of open requests. */
	readonly count: () => number;
	/** Resolves once no request is open, or after `deadline` (monotonic ms). */
	readonly untilNone: (deadline: number) => Promise<void>;
};
