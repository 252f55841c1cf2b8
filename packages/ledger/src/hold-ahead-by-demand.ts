import type {HoldAhead} from './hold-ahead.js';
import type {HoldAheadSettings} from './hold-ahead-settings.js';

/**
Draws enough for the demand of a time to come, and takes a smaller part of the
rest the nearer the budget is to its end, so that no hall corners the last tokens.
*/
export const holdAheadByDemand = ({horizonSeconds, shareOfRest}: HoldAheadSettings): HoldAhead => view => {
	const target = view.tokensPerSecond * horizonSeconds;
	const wanted = Math.max(view.missing, target - view.available);
	const part = Math.floor(view.unallocated * shareOfRest / view.halls);
	return Math.ceil(Math.min(wanted, Math.max(view.missing, part)));
};
