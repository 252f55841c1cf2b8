import type {ConnectionRate} from './connection-rate.js';

/** The time over which the recent rate is averaged, in ms. */
const recentMs = 1000;

/** The time over which the usual rate is averaged, in ms: after some ten seconds, a higher rate is the usual one. */
const usualMs = 30_000;

const average = (before: number, sample: number, share: number): number => before + ((sample - before) * (1 - Math.exp(-share)));

/** Updates the rate by the connections accepted within some time, in ms. Pure. */
export const stepConnectionRate = ({recent, usual}: ConnectionRate, accepted: number, passedMs: number): ConnectionRate => {
	const sample = accepted * 1000 / Math.max(1, passedMs);
	return {recent: average(recent, sample, passedMs / recentMs), usual: average(usual, sample, passedMs / usualMs)};
};
