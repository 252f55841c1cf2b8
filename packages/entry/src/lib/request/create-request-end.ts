import type {ServerResponse} from 'node:http';
import {hasCallerLeft} from '@deckwheel/host-kit';
import type {Schedule} from '../../adapter/schedule.js';
import {onceCallerLeft} from './once-caller-left.js';

/** The reason of all signals of requests. An error of each request would take a large part of the time to end thousands of them. */
const requestOver = new Error('The request is over');

/** How often it is looked, after the deadline, whether a response still waits for its caller, in ms. */
const lateCheckMs = 500;

const never = (): boolean => false;

/** Tells whether one request is over before it has its response, and why. */
type RequestEnd = {
	/** Aborted when the deadline passes, the caller leaves, or the host's shutdown cuts open requests. */
	readonly signal: AbortSignal;
	/** Whether `signal` is aborted. Also aborts it when the clock shows that the deadline has passed, or the connection that the caller has left. */
	readonly isOver: () => boolean;
	/** Why the request is over. The host's shutdown counts as `deadline`. */
	readonly endedBy: () => 'deadline' | 'caller_left' | undefined;
	/** When this host read that the caller has left, in monotonic ms; `undefined` where it did not. */
	readonly leftAt: () => number | undefined;
	/** Whether the host's shutdown ended the request, which was not over before. */
	readonly isCut: () => boolean;
	/** Cancels the timer of the deadline and removes the listeners. */
	readonly close: () => void;
};

type Options = {
	readonly res: ServerResponse;
	/** When the request has to be over, in monotonic ms. */
	readonly deadline: number;
	/** Whether a response that has begun has waited for its caller since this was called last. It goes on after the deadline then. By default never. */
	readonly hasWaitedForCaller?: () => boolean;
	/** Aborted when the host's shutdown cuts this request. */
	readonly shutdownSignal: AbortSignal;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Detects what ends a request early: its deadline, the host's shutdown, or a caller that leaves.

When the caller has left and the deadline has passed, `endedBy` is `caller_left`.
*/
export const createRequestEnd = ({res, deadline, hasWaitedForCaller = never, shutdownSignal, schedule, now}: Options): RequestEnd => {
	const abortController = new AbortController();
	let hasDeadlinePassed = false;
	let leftAt: number | undefined;
	let isCut = false;
	let isLate = false;
	const onDeadline = (): void => {
		hasDeadlinePassed = true;
		abortController.abort(requestOver);
	};

	const checkDeadline = (): void => {
		isLate = hasWaitedForCaller();
		if (isLate) {
			cancelDeadlineTimer = schedule(lateCheckMs, checkDeadline);
		} else {
			onDeadline();
		}
	};

	let cancelDeadlineTimer = schedule(Math.max(0, deadline - now()), checkDeadline);
	const onCallerLeft = (): void => {
		leftAt ??= now();
		abortController.abort(requestOver);
	};

	const stopListening = onceCallerLeft(res, onCallerLeft);
	const onCut = (): void => {
		isCut = !abortController.signal.aborted;
		onDeadline();
	};

	shutdownSignal.addEventListener('abort', onCut);

	return {
		signal: abortController.signal,
		isOver() {
			// While this process is busy, the timer of the deadline fires late; so the clock is read here.
			if (now() >= deadline && !isLate) {
				onDeadline();
			}

			// A connection that was reset emits `close` in a later phase of the event loop than the one in which requests are sent.
			if (hasCallerLeft(res)) {
				onCallerLeft();
			}

			return abortController.signal.aborted;
		},
		endedBy() {
			if (leftAt !== undefined) {
				return 'caller_left';
			}

			return hasDeadlinePassed ? 'deadline' : undefined;
		},
		leftAt: () => leftAt,
		isCut: () => isCut,
		close() {
			cancelDeadlineTimer();
			shutdownSignal.removeEventListener('abort', onCut);
			stopListening();
		},
	};
};
