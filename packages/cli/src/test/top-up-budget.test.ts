/** Guards against budgets named like a member of every object: a top-up of one that does not exist failed with an error of the program, and a new one could not be made. */
import test from 'ava';
import {fail, succeed} from '@deckwheel/core';
import type {RightsObject} from '@deckwheel/ledger';
import type {Platform} from '@deckwheel/store-client';
import {topUpBudget} from '../top-up-budget.js';

const createPlatform = () => {
	const written: RightsObject[] = [];
	const platform = {
		get: async (key: string) => written.length === 0 ? fail('missing') : succeed({key, version: written.length, value: written.at(-1)}),
		async put(key: string, value: unknown) {
			written.push(value as RightsObject);
			return succeed({key, version: written.length, value});
		},
	} as unknown as Platform;
	return {platform, written};
};

for (const budget of ['constructor', 'toString', '__proto__']) {
	test(`a budget named ${budget} is found where there is none, or is not made, or is topped up twice`, async t => {
		const {platform, written} = createPlatform();
		const unknown = await topUpBudget(platform, {
			budget, tokens: 5, id: 'p0', slots: 1,
		});
		t.false(unknown.ok);
		const made = await topUpBudget(platform, {
			budget, organisation: 'org', tokens: 100, id: 'p1', slots: 1,
		});
		t.deepEqual(made, {ok: true, value: 100});
		for (const id of ['p2', 'p2']) {
			t.deepEqual(await topUpBudget(platform, {
				budget, tokens: 20, id, slots: 1,
			}), {ok: true, value: 120});
		}

		t.deepEqual(Object.keys(written.at(-1)!.budgets), [budget]);
	});
}
