import {createHash} from 'node:crypto';

/** The name of a run towards its endpoint. It cannot be guessed from outside, and says nothing of the caller. */
export const streamId = (budget: string, key: string, run: number): string =>
	createHash('sha256').update(`${budget}\n${key}\n${run}`).digest('hex').slice(0, 32);
