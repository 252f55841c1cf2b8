import type {Run} from '@deckwheel/ledger';

type Inputs = {
	/** Wall-clock ms. */
	readonly now: number;
	/** The request's deadline, in wall-clock ms. */
	readonly deadline: number;
	/** How far the clocks of hosts may differ, in ms. */
	readonly clockSkewMs: number;
	readonly isRunnerGone: boolean;
};

/**
Decides whether nobody will tell any more how a run ended, so that its endpoint has to be asked. Pure.

A run that may still be sent is not asked for. Past the request's deadline nobody waits for the runner any more, whatever
became of it.
*/
export const isOrphanedRun = ({state, sendBy}: Run, {now, deadline, clockSkewMs, isRunnerGone}: Inputs): boolean => {
	const isOpen = state === 'running' || state === 'lost';
	const canStillBeSent = now <= sendBy + clockSkewMs;
	const isPastDeadline = now > deadline + clockSkewMs;
	return isOpen && !canStillBeSent && (state === 'lost' || isPastDeadline || isRunnerGone);
};
