import type {Bundle} from '@deckwheel/bundle';
import {rankByRendezvous} from '@deckwheel/core';
import {slotOfBudget} from '@deckwheel/ledger';
import type {Context} from '../process/context.js';
import type {MembershipTask} from '../membership/membership-task.js';
import type {SlotsTask} from './slots-task.js';

type Options = {
	readonly slots: SlotsTask;
	readonly membership: MembershipTask;
	readonly bundle: () => Bundle | undefined;
};

/**
Creates the function that orders the halls that could claim a new request.

The own hall comes first, unless one host of its pair is gone: then the pair waits for the
store to find it a new partner, which takes long in an outage.
*/
export const createHomeHallOrder = ({settings}: Context, {slots, membership, bundle}: Options) => (budget: string): readonly string[] => {
	const pair = slots.pairOf(slotOfBudget(budget, settings.slots));
	const members = [pair?.primary, pair?.backup].filter(host => host !== undefined);
	const isSound = members.length > 0 && members.every(host => !membership.isGone(host));
	const halls = (bundle()?.halls ?? []).map(({id}) => id).filter(id => id !== settings.hall);
	const reachable = rankByRendezvous(budget, halls).filter(hall => membership.addressesIn(hall).length > 0);
	return isSound ? [settings.hall, ...reachable] : [...reachable, settings.hall];
};
