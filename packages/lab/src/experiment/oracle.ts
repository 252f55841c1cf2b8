import type {CreatePolicy} from './create-policy.js';

/**
Knows all demand to come, but obeys the same cuts: when a cut begins, it splits what is left by what each hall will need in it.

Not shipped, since nobody has it. It shows how well a policy could do.
*/
export const oracle: CreatePolicy = ({arrivals, limits, scenario, now, reachesHalls}) => {
	const left = new Map(limits);
	const parts = new Map<string, number>();
	let isCut = false;

	const needOf = (hall: string, budget: string, until: number): number => arrivals
		.filter(arrival => arrival.hall === hall && arrival.budget === budget && arrival.at >= now() && arrival.at < until)
		.map(({served}) => served)
		.reduce((a, b) => a + b, 0);

	const split = (): void => {
		const until = scenario.cuts.find(({from, to}) => now() >= from && now() < to)?.to ?? now();
		for (const [budget, tokens] of left) {
			const needs = Object.keys(scenario.halls).map(hall => [hall, needOf(hall, budget, until)] as const);
			const sum = needs.reduce((total, [, need]) => total + need, 0);
			for (const [hall, need] of needs) {
				parts.set(`${hall} ${budget}`, tokens * need / Math.max(1, sum));
			}

			left.set(budget, 0);
		}
	};

	const join = (): void => {
		for (const [part, tokens] of parts) {
			const budget = part.split(' ')[1]!;
			left.set(budget, left.get(budget)! + tokens);
		}

		parts.clear();
	};

	const purse = (hall: string, budget: string): readonly [Map<string, number>, string] =>
		isCut ? [parts, `${hall} ${budget}`] : [left, budget];

	return {
		open({hall, budget, worstCase}) {
			const [map, key] = purse(hall, budget);
			const isAllowed = (map.get(key) ?? 0) >= worstCase;
			if (isAllowed) {
				map.set(key, map.get(key)! - worstCase);
			}

			return isAllowed;
		},
		close({hall, budget, worstCase, served}) {
			const [map, key] = purse(hall, budget);
			map.set(key, (map.get(key) ?? 0) + worstCase - served);
		},
		tick() {
			const isCutNow = !reachesHalls();
			if (isCutNow && !isCut) {
				split();
			} else if (!isCutNow && isCut) {
				join();
			}

			isCut = isCutNow;
		},
		die() {
			// It loses nothing.
		},
		stranded: () => 0,
	};
};
