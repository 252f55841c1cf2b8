import type {CreatePolicy} from './create-policy.js';

/**
One counter for all, as if there were no cuts. A hall that cannot reach it goes on with the last value that it saw.

Not shipped: it overspends. It is the naive version that the others are compared with.
*/
export const naiveCounter: CreatePolicy = world => {
	const used = new Map<string, number>();
	const unseen = new Map<string, number>();
	let lastSeen: ReadonlyMap<string, number> = new Map();

	const usedAsSeenBy = (hall: string, budget: string): number =>
		world.reachesStore()
			? used.get(budget) ?? 0
			: (lastSeen.get(budget) ?? 0) + (unseen.get(`${hall} ${budget}`) ?? 0);

	const add = (hall: string, budget: string, tokens: number): void => {
		used.set(budget, (used.get(budget) ?? 0) + tokens);
		unseen.set(`${hall} ${budget}`, (unseen.get(`${hall} ${budget}`) ?? 0) + tokens);
	};

	return {
		open({hall, budget, worstCase}) {
			const isAllowed = usedAsSeenBy(hall, budget) + worstCase <= world.limits.get(budget)!;
			if (isAllowed) {
				add(hall, budget, worstCase);
			}

			return isAllowed;
		},
		close({hall, budget, worstCase, served}) {
			add(hall, budget, served - worstCase);
		},
		tick() {
			if (world.reachesStore()) {
				lastSeen = new Map(used);
				unseen.clear();
			}
		},
		die() {
			// The counter is nobody's memory.
		},
		stranded: () => 0,
	};
};
