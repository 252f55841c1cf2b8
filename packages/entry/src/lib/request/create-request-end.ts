import type {ServerResponse} from 'node:http';
import type {Schedule} from '../../adapter/schedule.js';
import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {CallerEnd} from './caller-end.js';

/** Tells whether one request is over before it has its response, and why. */
type RequestEnd = {
	/** Aborted when the deadline passes, the caller closes its connection, or the host's shutdown cuts open requests. */
	readonly signal: AbortSignal;
	/** Whether `signal` is aborted. Also aborts it when the clock shows that the deadline has passed. */
	readonly isOver: () => boolean;
	/** Why the request is over. The host's shutdown counts as `deadline`. */
	readonly endedBy: () => 'deadline' | 'caller_left' | undefined;
	/** When the caller's end of its connection came. */
	readonly callerEnd: () => CallerEnd;
	/** Cancels the timer of the deadline and removes the listeners. */
	readonly close: () => void;
};

type Options = {
	readonly res: ServerResponse;
	/** When the request has to be over, in monotonic ms. */
	readonly deadline: number;
	/** Aborted when the host's shutdown cuts requests that are still open. */
	readonly shutdownSignal: AbortSignal;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Detects what ends a request early: its deadline, the host's shutdown, or a caller that closes its connection.

When the caller has left and the deadline has passed, `endedBy` is `caller_left`.
*/
export const createRequestEnd = ({res, deadline, shutdownSignal, schedule, now}: Options): RequestEnd => {
	const abortController = new AbortController();
	let hasDeadlinePassed = false;
	let hasCallerLeft = false;
	let endReadAt: number | undefined;
	let closedAt: number | undefined;
	const onDeadline = (): void => {
		hasDeadlinePassed = true;
		abortController.abort();
	};

	const cancelDeadlineTimer = schedule(Math.max(0, deadline - now()), onDeadline);
	const onResponseClosed = (): void => {
		hasCallerLeft = !res.writableFinished;
		closedAt = hasCallerLeft ? now() : undefined;
		abortController.abort();
	};

	const {socket} = res.req;
	const onEndRead = (): void => {
		endReadAt = now();
	};

	socket.once('end', onEndRead);
	const stopListeningForClose = onceResponseClosed(res, onResponseClosed);
	shutdownSignal.addEventListener('abort', onDeadline);
	// Node.js emits `close` once. If it was emitted before the listener was added, only the state of the objects shows it.
	if (res.closed || socket.destroyed) {
		onResponseClosed();
	}

	return {
		signal: abortController.signal,
		isOver() {
			// While this process is busy, the timer of the deadline fires late; so the clock is read here.
			if (now() >= deadline) {
				onDeadline();
			}

			return abortController.signal.aborted;
		},
		endedBy() {
			if (hasCallerLeft) {
				return 'caller_left';
			}

			return hasDeadlinePassed ? 'deadline' : undefined;
		},
		callerEnd: () => ({readAt: endReadAt, closedAt}),
		close() {
			socket.removeListener('end', onEndRead);
			cancelDeadlineTimer();
			shutdownSignal.removeEventListener('abort', onDeadline);
			stopListeningForClose();
		},
	};
};
