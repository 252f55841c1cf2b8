import {setTimeout as sleep} from 'node:timers/promises';
import type {Log} from './leveled-log.js';

/** The delay between two attempts to listen, in ms. */
const retryDelayMs = 500;

type Options = {
	/** The address at which `open` listens, for the log. */
	readonly address: string;
	readonly log: Log;
	/** Ends the attempts. */
	readonly stopSignal: AbortSignal;
};

/**
Opens something that listens, and tries again while its address is taken or the machine does not have it yet. Resolves with `undefined`
if `stopSignal` aborts before.
*/
export const openWhenFree = async <T>(open: () => Promise<T>, {address, log, stopSignal}: Options): Promise<T | undefined> => {
	const tryToOpen = async (): Promise<T | undefined> => {
		try {
			return await open();
		} catch (error) {
			log('error', 'listen_failed', {address, error: (error as Error).message});
			return undefined;
		}
	};

	let opened = await tryToOpen();
	while (opened === undefined && !stopSignal.aborted) {
		await sleep(retryDelayMs);
		opened = await tryToOpen();
	}

	return opened;
};
