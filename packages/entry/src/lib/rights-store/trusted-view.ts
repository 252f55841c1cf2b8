import type {StoreView} from '@deckwheel/ledger';
import {viewTrustMs} from './view-trust-ms.js';

/**
Decides what an old view of the store's side still tells. Pure. It may say that nothing is left where others have given back
since, so it keeps no host from looking.

@param ageMs How long ago the store's record was read.
*/
export const trustedView = (view: StoreView, ageMs: number): StoreView =>
	ageMs > viewTrustMs ? {...view, unallocated: Math.max(1, view.unallocated)} : view;
