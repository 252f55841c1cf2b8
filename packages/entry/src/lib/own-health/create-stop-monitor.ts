/** The interval at which a host notes that it runs, in ms. */
const intervalMs = 200;

/** From how long an interval on the process counts as stopped, in ms. Shorter ones are usual on a busy computer. */
const stopMs = 1000;

type Options = {
	/** Calls a function every `pauseMs` ms; returns a function that stops the calls. */
	readonly every: (pauseMs: number, callback: () => void) => () => void;
	/** Elapsed ms, so that a suspension of the machine counts as a stop. */
	readonly elapsed: () => number;
};

/** Notices that this process did not run for a while: it was stopped, or its machine suspended. */
type StopMonitor = {
	/** When the last stop was noticed, in elapsed ms. Also tells of a stop that has just ended, whatever the process runs first after it. */
	readonly resumedAt: () => number;
	readonly close: () => void;
};

/** Creates the monitor of a process that was never stopped. */
export const createStopMonitor = ({every, elapsed}: Options): StopMonitor => {
	let ranAt = elapsed();
	let resumedAt = Number.NEGATIVE_INFINITY;

	const noteRunning = (): void => {
		const time = elapsed();
		resumedAt = time - ranAt >= stopMs ? time : resumedAt;
		ranAt = time;
	};

	return {
		resumedAt() {
			noteRunning();
			return resumedAt;
		},
		close: every(intervalMs, noteRunning),
	};
};
