import {hash32} from '@deckwheel/core';

/** The slot that a budget belongs to, on every host and in the store. */
export const slotOfBudget = (budget: string, slots: number): number => hash32(budget) % slots;
