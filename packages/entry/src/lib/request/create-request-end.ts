import type {ServerResponse} from 'node:http';
import type {Schedule} from '../../adapter/schedule.js';

/** What ends a request from outside. */
type RequestEnd = {
	/** Aborted when the deadline passes or the caller leaves. */
	readonly signal: AbortSignal;
	readonly isOver: () => boolean;
	/** Which of the two it was. */
	readonly endedBy: () => 'deadline' | 'caller_left' | undefined;
	/** Stops watching. */
	readonly close: () => void;
};

type Options = {
	readonly res: ServerResponse;
	/** Monotonic ms. */
	readonly deadline: number;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Watches for what ends a request early: its deadline, or a caller that leaves. A caller that left goes before the deadline. */
export const createRequestEnd = ({res, deadline, schedule, now}: Options): RequestEnd => {
	const abort = new AbortController();
	let isTimedOut = false;
	let hasCallerLeft = false;
	const cancelTimer = schedule(Math.max(0, deadline - now()), () => {
		isTimedOut = true;
		abort.abort();
	});
	const onClose = (): void => {
		hasCallerLeft = !res.writableFinished;
		abort.abort();
	};

	res.once('close', onClose);
	return {
		signal: abort.signal,
		isOver: () => abort.signal.aborted,
		endedBy() {
			if (hasCallerLeft) {
				return 'caller_left';
			}

			return isTimedOut ? 'deadline' : undefined;
		},
		close() {
			cancelTimer();
			res.removeListener('close', onClose);
		},
	};
};
