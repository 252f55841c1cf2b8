import type {StoreView} from '@deckwheel/ledger';
import {maxViewAgeMs} from './max-view-age-ms.js';

/**
Adjusts a view of the store's record that may be out of date. Pure. An old view may say that nothing is unallocated although other hosts have
given rights back since it was read. It therefore counts as having at least one token unallocated, so that the host does not refrain from a draw because
of the old view.

@param ageMs How long ago the store's record was read, in ms.
*/
export const adjustStaleView = (view: StoreView, ageMs: number): StoreView =>
	ageMs > maxViewAgeMs ? {...view, unallocated: Math.max(1, view.unallocated)} : view;
