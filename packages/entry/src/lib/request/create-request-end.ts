import type {ServerResponse} from 'node:http';
import type {Schedule} from '../../adapter/schedule.js';
import {onceResponseClosed} from '../relaying/once-response-closed.js';

/** What ends a request from outside. */
type RequestEnd = {
	/** Aborted when the deadline passes, the caller leaves, or the host ends. */
	readonly signal: AbortSignal;
	readonly isOver: () => boolean;
	/** Which it was; the end of the host is a deadline. */
	readonly endedBy: () => 'deadline' | 'caller_left' | undefined;
	/** Stops watching. */
	readonly close: () => void;
};

type Options = {
	readonly res: ServerResponse;
	/** Monotonic ms. */
	readonly deadline: number;
	/** Aborted when the host ends. */
	readonly shutdownSignal: AbortSignal;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Watches for what ends a request early: its deadline, the end of the host, or a caller that leaves. A caller that left goes first. */
export const createRequestEnd = ({res, deadline, shutdownSignal, schedule, now}: Options): RequestEnd => {
	const abort = new AbortController();
	let isTimedOut = false;
	let hasCallerLeft = false;
	const onDeadline = (): void => {
		isTimedOut = true;
		abort.abort();
	};

	const cancelTimer = schedule(Math.max(0, deadline - now()), onDeadline);
	const onClose = (): void => {
		hasCallerLeft = !res.writableFinished;
		abort.abort();
	};

	const forgetAnswer = onceResponseClosed(res, onClose);
	shutdownSignal.addEventListener('abort', onDeadline);
	// A close that came before this is never told again.
	if (res.closed || res.req.socket.destroyed) {
		onClose();
	}

	return {
		signal: abort.signal,
		isOver() {
			// A timer fires late while this process is busy.
			if (now() >= deadline) {
				onDeadline();
			}

			return abort.signal.aborted;
		},
		endedBy() {
			if (hasCallerLeft) {
				return 'caller_left';
			}

			return isTimedOut ? 'deadline' : undefined;
		},
		close() {
			cancelTimer();
			shutdownSignal.removeEventListener('abort', onDeadline);
			forgetAnswer();
		},
	};
};
