import type {CreatePolicy} from './create-policy.js';

/** Each budget is split evenly for good: among the halls, or among all hosts. */
export const fixedShare = (by: 'hall' | 'host'): CreatePolicy => ({scenario, limits}) => {
	const halls = Object.keys(scenario.halls);
	const perHall = by === 'host' ? scenario.hostsPerHall : 1;
	const parts = halls.length * perHall;
	const used = new Map<string, number>();
	let lost = 0;

	const partOf = ({id, hall, budget}: {readonly id: number; readonly hall: string; readonly budget: string}): string =>
		`${hall} ${id % perHall} ${budget}`;

	const add = (part: string, tokens: number): void => {
		used.set(part, (used.get(part) ?? 0) + tokens);
	};

	return {
		open(arrival) {
			const part = partOf(arrival);
			const isAllowed = (used.get(part) ?? 0) + arrival.worstCase <= limits.get(arrival.budget)! / parts;
			if (isAllowed) {
				add(part, arrival.worstCase);
			}

			return isAllowed;
		},
		close(arrival) {
			add(partOf(arrival), arrival.served - arrival.worstCase);
		},
		tick() {
			// Nothing ever moves.
		},
		// A host that dies takes its share with it: what it had spent is not known.
		die(hall, host) {
			if (by === 'hall') {
				return;
			}

			for (const [budget, limit] of limits) {
				const part = `${hall} ${host} ${budget}`;
				lost += Math.max(0, (limit / parts) - (used.get(part) ?? 0));
				used.set(part, limit / parts);
			}
		},
		stranded: () => lost,
	};
};
