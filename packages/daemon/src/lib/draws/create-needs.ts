/** What waiting requests lack, by budget, in tokens. */
type Needs = {
	readonly add: (slot: number, budget: string, tokens: number) => void;
	/** What requests of a budget lack; 0 when none waits. */
	readonly of: (budget: string) => number;
	readonly has: (budget: string) => boolean;
	/** The budgets of a slot for which somebody waits. */
	readonly budgetsOf: (slot: number) => readonly string[];
	/** Takes off what was asked of the store. A need that came while the write was under way still stands. */
	readonly subtract: (asked: ReadonlyMap<string, number>) => void;
	readonly drop: (budget: string) => void;
};

/** Creates needs of nobody. */
export const createNeeds = (): Needs => {
	const needs = new Map<string, {readonly slot: number; readonly tokens: number}>();
	return {
		add(slot, budget, tokens) {
			needs.set(budget, {slot, tokens: (needs.get(budget)?.tokens ?? 0) + tokens});
		},
		of: budget => needs.get(budget)?.tokens ?? 0,
		has: budget => needs.has(budget),
		budgetsOf: slot => [...needs].filter(([, need]) => need.slot === slot).map(([budget]) => budget),
		subtract(asked) {
			for (const [budget, tokens] of asked) {
				const need = needs.get(budget);
				const left = (need?.tokens ?? 0) - tokens;
				if (need && left > 0) {
					needs.set(budget, {...need, tokens: left});
				} else {
					needs.delete(budget);
				}
			}
		},
		drop(budget) {
			needs.delete(budget);
		},
	};
};
