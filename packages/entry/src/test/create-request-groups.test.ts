import test from 'ava';
import fc from 'fast-check';
import {createRequestGroups} from '../lib/shutdown/create-request-groups.js';

/** A number of requests, and how many of them are to end. */
const requests = fc.integer({min: 1, max: 4000}).chain(open => fc.tuple(fc.constant(open), fc.integer({min: 1, max: open})));

const assign = (open: number) => {
	const groups = createRequestGroups();
	const signals = Array.from({length: open}, () => groups.assign());
	return {groups, countEnded: () => signals.filter(({aborted}) => aborted).length};
};

test('fewer requests end than have to, or many more', t => {
	fc.assert(fc.property(requests, ([open, excess]) => {
		const {groups, countEnded} = assign(open);
		groups.end(excess, open);
		// Groups are equal but for one request, and end whole.
		return countEnded() + 16 >= excess && countEnded() <= excess + Math.ceil(open / 16) + 16;
	}));
	t.pass();
});

test('a request stays open that is to end', async t => {
	const {groups, countEnded} = assign(100);
	groups.end(0, 100);
	t.is(countEnded(), 0);
	await groups.endAll();
	t.is(countEnded(), 100);
	t.true(groups.assign().aborted);
});

test('a request that comes while a part of the requests has ended ends with them', t => {
	const {groups} = assign(100);
	groups.end(50, 100);
	t.false(groups.assign().aborted);
});
