import type {ShutdownPlan} from './shutdown-plan.js';

/** After the signal to stop, new connections may still come for as long as the balancer takes to notice, in ms. */
const lingerMs = 3000;

/**
Of the linger, what is left for a signal that is noticed late, in ms: the linger counts from the sending of the signal, and a
stopping host hears of it later.
*/
const lateSignalMs = 250;

/** Left of the time to stop for giving rights back, in ms. */
const giveBackMs = 1000;

/** Left of the time to stop for the end of the process, in ms: the kill comes earlier by as much as the signal was noticed late. */
const exitMs = 200;

/** Between the deadline of a request, or the moment when it is cut, and the end of its answer, in ms: for a late timer, and for the answer to be written. */
const writeAnswerMs = 200;

/**
Plans a stop. Pure.

@param now When the signal was noticed, in monotonic ms.
@param graceMs From the signal until the process is killed, in ms.
*/
export const planShutdown = (now: number, graceMs: number): ShutdownPlan => {
	const endBy = now + graceMs - giveBackMs;
	const answerBy = endBy - writeAnswerMs;
	return {
		takeAllUntil: Math.min(now + lingerMs - lateSignalMs, answerBy),
		listenUntil: Math.min(now + lingerMs, endBy),
		answerBy,
		endBy,
		cutBy: Math.max(endBy, now + graceMs - exitMs - writeAnswerMs),
		closeBy: Math.max(endBy, now + graceMs - exitMs),
		isOver: false,
	};
};
