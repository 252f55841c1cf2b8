import type {HoldingPolicy} from './holding-policy.js';

/**
Splits what is left of a budget among its holders by their demand, as far ahead as there is anything to hold.

Rights that sit in the store are out of reach in a cut; rights at a holder are not. So nothing is kept back
in the store beyond `1 - shareOfRest`, however long the cut will be. While halls can reach each other,
transfers correct a split that turns out wrong.

`deckwheeld` holds by this policy.
*/
export const holdingPolicyByShare = ({shareOfRest}: {readonly shareOfRest: number}): HoldingPolicy => view => {
	const target = view.remaining * shareOfRest * view.demandShare;
	return Math.ceil(target);
};
