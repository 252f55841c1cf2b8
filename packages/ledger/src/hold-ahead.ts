import type {DemandView} from './demand-view.js';

/** Decides how many tokens a holder draws now. The result is kept within what the store has left. */
export type HoldAhead = (view: DemandView) => number;
