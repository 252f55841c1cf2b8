/** Resolves once a promise is settled; who reads its value gets its error. */
const untilSettled = async (promise: Promise<unknown>): Promise<void> => {
	await Promise.allSettled([promise]);
};

/**
Wraps a read so that callers share it: a call gets the result of a read that began after the call. While one is under way, all further
calls share the next one.
*/
export const createSharedRead = <T>(read: () => Promise<T>): (() => Promise<T>) => {
	let running: Promise<void> = Promise.resolve();
	let next: Promise<T> | undefined;

	const readNext = async (before: Promise<void>): Promise<T> => {
		await before;
		next = undefined;
		return read();
	};

	return async () => {
		if (next === undefined) {
			next = readNext(running);
			running = untilSettled(next);
		}

		return next;
	};
};
