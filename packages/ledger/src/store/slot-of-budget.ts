import {hash32} from '@deckwheel/core';

/** The slot that a budget belongs to, 0 to `slots - 1`: the same on every host and in the store. */
export const slotOfBudget = (budget: string, slots: number): number => hash32(budget) % slots;
