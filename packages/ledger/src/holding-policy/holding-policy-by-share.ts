import type {HoldingPolicy} from './holding-policy.js';

/**
Creates a policy that splits a budget's unspent tokens among its holders in proportion to their demand, without a limit in time.

During an outage of the store a holder can spend the rights that it holds, but not those in the store. So the store keeps
only `1 - shareOfRest` of the unspent tokens, however long an outage lasts. While halls can reach each other,
they correct a wrong split by transfers of rights.

`deckwheeld` uses this policy.
*/
export const holdingPolicyByShare = ({shareOfRest}: {readonly shareOfRest: number}): HoldingPolicy => view => {
	const target = view.remaining * shareOfRest * view.demandShare;
	return Math.ceil(target);
};
