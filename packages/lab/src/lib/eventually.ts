import {setTimeout as delay} from 'node:timers/promises';

/** How often the condition is looked at, in ms. */
const pollMs = 40;

/** Waits until a check gives something, and returns it. The test runner's own limit ends a wait in vain. */
export const eventually = async <T>(check: () => Promise<T | undefined | false>): Promise<T> => {
	while (true) {
		const result = await check();
		if (result !== undefined && result !== false) {
			return result;
		}

		await delay(pollMs);
	}
};
