/** The interval at which a poll of the event loop is noted, in ms. */
const intervalMs = 100;

type Options = {
	/** Calls a function every `pauseMs` ms. */
	readonly every: (pauseMs: number, callback: () => void) => void;
	/** Calls a function once, after the next poll of the event loop. */
	readonly afterPoll: (callback: () => void) => void;
	/** Elapsed ms, so that a suspension of the machine is counted. */
	readonly elapsed: () => number;
};

/** Tells when this process last polled for events. */
type PollMonitor = {
	/**
	An instant after which this process has polled for events, in elapsed ms. An event that is noticed only now, a signal for instance,
	occurred later than that.
	*/
	readonly polledAfter: () => number;
};

/** Creates the monitor of a process that begins to listen for events now. */
export const createPollMonitor = ({every, afterPoll, elapsed}: Options): PollMonitor => {
	let polledAfter = elapsed();
	every(intervalMs, () => {
		// A timer alone proves nothing: after a stop of the process, it may fire before the poll that finds the signal.
		const time = elapsed();
		afterPoll(() => {
			polledAfter = time;
		});
	});
	return {polledAfter: () => polledAfter};
};
