import type {DrawOutcome} from './draw-outcome.js';

/** The task that moves rights between the store and this host's slots. */
export type DrawTask = {
	/**
	Draws for a request that waits.

	@returns What the store has left for the budget after that; `undefined` when the store could not be asked.
	*/
	readonly need: (slot: number, budget: string, missing: number) => Promise<DrawOutcome>;
	/** Notes that tokens were reserved, for the forecast of demand. */
	readonly noteDemand: (budget: string, tokens: number) => void;
	/** Gives all rights of a slot back to the store and records what was settled. */
	readonly giveBackAll: (slot: number) => Promise<void>;
	readonly flush: (slot: number) => Promise<void>;
	readonly stop: () => Promise<void>;
};
