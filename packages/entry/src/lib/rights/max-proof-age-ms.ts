import {maxViewAgeMs} from '../rights-store/max-view-age-ms.js';
import {emptyStoreTrustMs} from './empty-store-trust-ms.js';

/**
Decides up to which age a record of the store proves that a budget is used up, in ms. Pure.

A source that was not asked because of a pause may have got rights since, so a record or report from before counts for a short time only.

@param isSkipped Whether a pause kept this host from asking the store or its allocators.
*/
export const maxProofAgeMs = (isSkipped: boolean): number => isSkipped ? emptyStoreTrustMs : maxViewAgeMs;
