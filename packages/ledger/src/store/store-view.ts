import type {DemandView} from '../holding-policy/demand-view.js';

/** What a holder learns from the store about a budget when it draws. */
export type StoreView = Pick<DemandView, 'unallocated' | 'remaining' | 'demandShare' | 'fleetTokensPerSecond'>;
