/** Something that can be stopped. */
type Stoppable = {readonly stop: () => Promise<void>; readonly wake: () => void};

/**
Runs a step again and again, one at a time, with a pause between two runs.

@param pauseMs Called after each run, so that the pause can vary. `wake` cuts it short.
*/
export const repeat = (step: () => Promise<void>, pauseMs: () => number): Stoppable => {
	const state = {isStopped: false};
	let isWoken = false;
	let endPause: () => void = () => undefined;

	const pause = async (): Promise<void> => new Promise(resolve => {
		const timer = setTimeout(resolve, isWoken ? 0 : pauseMs());
		isWoken = false;
		endPause = () => {
			clearTimeout(timer);
			resolve();
		};
	});

	const run = async (): Promise<void> => {
		while (!state.isStopped) {
			await step();
			if (!state.isStopped) {
				await pause();
			}
		}
	};

	const running = run();
	return {
		async stop() {
			state.isStopped = true;
			endPause();
			await running;
		},
		wake() {
			isWoken = true;
			endPause();
		},
	};
};
