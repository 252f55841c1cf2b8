/** Calls back again and again with the process's own timers, and keeps no process alive by it. Returns what ends it. */
export const repeatByTimer = (pauseMs: number, callback: () => void): (() => void) => {
	const timer = setInterval(callback, pauseMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
};
