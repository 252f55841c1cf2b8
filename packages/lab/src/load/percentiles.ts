import {build} from 'hdr-histogram-js';

/** Histograms take whole numbers. */
const microsecondsPerMs = 1000;

/** The 50th, 95th and 99th percentile of some times in ms. */
export const percentiles = (times: readonly number[]): {readonly p50: number; readonly p95: number; readonly p99: number} => {
	const histogram = build();
	for (const time of times) {
		histogram.recordValue(Math.round(time * microsecondsPerMs));
	}

	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
	return {p50: at(50), p95: at(95), p99: at(99)};
};
