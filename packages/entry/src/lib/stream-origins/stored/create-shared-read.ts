import type {Schedule} from '../../../adapter/schedule.js';

type Options = {
	/** The shortest time between the beginnings of two reads, in ms. */
	readonly gapMs: number;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Resolves once a promise is settled; who reads its value gets its error. */
const untilSettled = async (promise: Promise<unknown>): Promise<void> => {
	await Promise.allSettled([promise]);
};

/**
Wraps a read so that callers share it: a call gets the result of a read that began after the call. While one is under way, or began a short
time ago, all further calls share the next one.
*/
export const createSharedRead = <T>(read: () => Promise<T>, {gapMs, schedule, now}: Options): (() => Promise<T>) => {
	let running: Promise<void> = Promise.resolve();
	let next: Promise<T> | undefined;
	let mayReadAt = Number.NEGATIVE_INFINITY;

	const readNext = async (before: Promise<void>): Promise<T> => {
		await before;
		if (now() < mayReadAt) {
			await new Promise<void>(resolve => {
				schedule(mayReadAt - now(), resolve);
			});
		}

		next = undefined;
		mayReadAt = now() + gapMs;
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
