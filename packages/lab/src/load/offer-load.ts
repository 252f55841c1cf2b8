import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {mix} from './mix.js';
import type {Sample} from './sample.js';
import {sendTimed} from './send-timed.js';

/** Steps of a random number between 0 and 1. */
const precision = 1_000_000;

type Load = {
	readonly urls: readonly string[];
	readonly headers: Readonly<Record<string, string>>;
	readonly requestsPerSecond: number;
	readonly seconds: number;
	readonly seed: number;
};

/** Offers requests at a rate, whether or not earlier ones have ended, and waits for all. */
export const offerLoad = async ({urls, headers, requestsPerSecond, seconds, seed}: Load): Promise<readonly Sample[]> => {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformInt(generator, 0, precision - 1) / precision;
	const open: Array<Promise<Sample>> = [];
	const startedAt = performance.now();
	let at = 0;
	while (at < seconds) {
		at += -Math.log(1 - random()) / requestsPerSecond;
		await delay(Math.max(0, (at * 1000) - (performance.now() - startedAt)));
		const isQuick = random() < mix.quickShare;
		const document = Math.floor(random() * mix.documents);
		const url = urls[Math.floor(random() * urls.length)]!;
		const priority = isQuick ? 'quick' : 'slow';
		open.push(sendTimed({
			url,
			headers: {...headers, 'x-priority': priority},
			// Long requests share the beginnings of a few documents.
			prompt: isQuick ? `question ${random()}` : `${`contract ${document} `.repeat(mix.documentChars / 12)} ${random()}`,
			maxTokens: isQuick ? mix.quickTokens : mix.slowTokens,
			priority,
		}));
	}

	return Promise.all(open);
};
