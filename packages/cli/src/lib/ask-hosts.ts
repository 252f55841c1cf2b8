import type {z} from 'zod';
import {askHost} from './ask-host.js';
import type {HostAnswer} from './host-answer.js';

/** Asks all of these hosts for the same, at once. */
export const askHosts = async <T>(urls: readonly string[], path: string, schema: z.ZodType<T>): Promise<ReadonlyArray<HostAnswer<T>>> =>
	Promise.all(urls.map(async url => ({url, answer: await askHost(url, path, schema)})));
