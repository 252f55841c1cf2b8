/** The interval at which the count is looked at, in ms. */
const pollMs = 50;

/** Resolves once `count` returns 0, or after `deadline` (monotonic ms, as `now`). */
export const untilNone = async (count: () => number, deadline: number, now: () => number): Promise<void> => new Promise(resolve => {
	const poll = setInterval(() => {
		if (count() === 0 || now() > deadline) {
			clearInterval(poll);
			resolve();
		}
	}, pollMs);
});
