/** Guards against budgets that `deckwheeld` leaves out when it reads a slot because of their name: its next write would take them out of the store. */
import test from 'ava';
import {rightsObjectSchema} from '../lib/draws/rights-object-schema.js';

test('a budget named like a member of every object is left out', t => {
	const budget = {
		organisation: 'org', limit: 10, topUps: [], holders: {
			h: {
				epoch: 1, granted: 1, transferred: 0, rate: 0, settled: 0, billed: 0,
			},
		},
	};
	const names = ['plain', 'constructor', '__proto__'];
	const read = rightsObjectSchema.parse({budgets: Object.fromEntries(names.map(name => [name, budget]))});
	t.deepEqual(Object.entries(read.budgets), names.map(name => [name, budget]));
});
