import type {Schedule} from '../../../adapter/schedule.js';

/** Resolves with what a promise resolves with, or with `undefined` after a time in ms, whichever comes first. */
export const untilTimeout = async <T>(promise: Promise<T>, timeoutMs: number, schedule: Schedule): Promise<T | undefined> => {
	let cancel: (() => void) | undefined;
	const timeout = new Promise<undefined>(resolve => {
		cancel = schedule(timeoutMs, () => {
			resolve(undefined);
		});
	});
	try {
		return await Promise.race([promise, timeout]);
	} finally {
		cancel?.();
	}
};
