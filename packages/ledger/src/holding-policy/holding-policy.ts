import type {DemandView} from './demand-view.js';

/** Decides how many tokens, whole ones, a holder should have at hand on one budget, what it has now included. */
export type HoldingPolicy = (view: DemandView) => number;
