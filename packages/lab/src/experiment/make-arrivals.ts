import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Arrival} from './arrival.js';
import type {Scenario} from './scenario.js';

const precision = 1_000_000;
const secondsPerToken = 0.02;

/** Makes a scenario's requests: short and long ones mixed. The same seed makes the same ones. */
export const makeArrivals = (scenario: Scenario, seed: number): readonly Arrival[] => {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformInt(generator, 0, precision - 1) / precision;

	const pick = (weights: Readonly<Record<string, number>>): string => {
		const entries = Object.entries(weights);
		let point = random() * entries.reduce((sum, [, weight]) => sum + weight, 0);
		for (const [name, weight] of entries) {
			point -= weight;
			if (point < 0) {
				return name;
			}
		}

		return entries.at(-1)![0];
	};

	const arrivals: Arrival[] = [];
	for (let at = 0, id = 0; at < scenario.seconds; id++) {
		at += -Math.log(1 - random()) / scenario.requestsPerSecond;
		const isLong = random() < 0.3;
		const worstCase = Math.floor(isLong ? 1000 + (random() * 3000) : 200 + (random() * 600));
		const served = Math.floor(worstCase * (0.2 + (random() * 0.7)));
		arrivals.push({
			id, at, hall: pick(scenario.halls), budget: pick(scenario.budgets), worstCase, served, seconds: served * secondsPerToken,
		});
	}

	return arrivals;
};
