import {
	fail, ownValue, succeed, type Result,
} from '@deckwheel/core';
import {
	slotOfBudget, topUp, type BudgetRights, type RightsObject,
} from '@deckwheel/ledger';
import type {Platform, StoreError} from '@deckwheel/store-client';
import {storeProblem} from './lib/store-problem.js';

/** Halls write to the same object; the top-up tries again on top of theirs. */
const maxTries = 20;

type TopUp = {
	readonly budget: string;
	/** Creates the budget for this organisation if it does not exist. */
	readonly organisation?: string;
	readonly tokens: number;
	/** Names the payment: the same one again changes nothing. */
	readonly id: string;
	readonly slots: number;
};

const newBudget = (organisation: string): BudgetRights => ({
	organisation, limit: 0, topUps: [], holders: {},
});

/** Pays tokens into a budget, by a conditional write that is safe to repeat. Returns the new limit. */
export const topUpBudget = async (platform: Platform, {budget, organisation, tokens, id, slots}: TopUp): Promise<Result<number, string>> => {
	const key = `rights/${slotOfBudget(budget, slots)}`;
	let mayBeDone = false;
	const problemOf = (error: StoreError): string => storeProblem[mayBeDone ? 'unknown' : error];
	for (let tries = 0; tries < maxTries; tries++) {
		const object = await platform.get(key);
		if (!object.ok && object.error !== 'missing') {
			return fail(problemOf(object.error));
		}

		const rights = object.ok ? object.value.value as RightsObject : {budgets: {}};
		const before = ownValue(rights.budgets, budget) ?? (organisation === undefined ? undefined : newBudget(organisation));
		if (!before) {
			return fail(`There is no budget "${budget}". Create it with: deckwheel budget create`);
		}

		const after = topUp(before, id, tokens);
		if (after === before) {
			return succeed(after.limit);
		}

		const next: RightsObject = {budgets: {...rights.budgets, [budget]: after}};
		const outcome = await platform.put(key, next, object.ok ? object.value.version : 0);
		if (outcome.ok) {
			return succeed(after.limit);
		}

		if (outcome.error === 'unavailable') {
			return fail(problemOf(outcome.error));
		}

		mayBeDone ||= outcome.error === 'unknown';
		// A conflict, or an answer that was lost: the next look tells, and the identifier keeps it from counting twice.
	}

	return fail(problemOf('conflict'));
};
