import type {Clock} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {DemandMeter} from './demand-meter.js';

/** Budgets whose demand is remembered: a bound on memory. */
const maxBudgets = 20_000;

type Meter = {readonly perSecond: number; readonly at: number};

/** Creates a meter whose rates fade with time. */
export const createDemandMeter = (clock: Clock, memorySeconds: () => number): DemandMeter => {
	const meters = new LRUCache<string, Meter>({max: maxBudgets});

	const faded = (budget: string): number => {
		const meter = meters.get(budget);
		const idleSeconds = meter ? (clock.monotonic() - meter.at) / 1000 : 0;
		return (meter?.perSecond ?? 0) * Math.exp(-idleSeconds / memorySeconds());
	};

	return {
		note(budget, tokens) {
			meters.set(budget, {perSecond: faded(budget) + (tokens / memorySeconds()), at: clock.monotonic()});
		},
		rate: faded,
	};
};
