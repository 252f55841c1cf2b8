import type {DemandView} from '../holding-policy/demand-view.js';

/** The part of a `DemandView` that a holder reads from a budget's record in the store. */
export type StoreView = Pick<DemandView, 'unallocated' | 'remaining' | 'demandShare' | 'fleetTokensPerSecond'>;
