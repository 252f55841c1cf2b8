import type {DemandView} from './demand-view.js';

/** Decides how many tokens a holder should hold on one budget, including the tokens that it holds already. Returns a whole number. */
export type HoldingPolicy = (view: DemandView) => number;
