/** Calls `callback` every `intervalMs` by a timer that does not keep the process alive. Returns the function that stops the timer. */
export const repeatByTimer = (intervalMs: number, callback: () => void): (() => void) => {
	const timer = setInterval(callback, intervalMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
};
