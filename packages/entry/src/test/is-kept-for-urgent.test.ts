/**
A budget ran out while callers of all kinds asked for it, and the users' most urgent requests were refused as often as the others.

Order of events: the store is away, comes back, all hosts die; what is left of the budget serves whoever comes first, and a few large
requests take what would have served many urgent ones. 12 s later next to nothing is served. Evidence: budgets with 0 left in the
store 2 to 6 s after the return, and 131 requests refused in four seconds, each of them more urgent or smaller than what had been
served.
*/
import test from 'ava';
import {isKeptForUrgent} from '../lib/budget-pacing/is-kept-for-urgent.js';
import {createUrgencyRecord} from '../lib/budget-pacing/create-urgency-record.js';

const fleetRate = 1000;
const inputs = {
	tokens: 500, uncommitted: 2000, fleetRate, urgentShare: 0.3, urgentMeanTokens: 400,
};

test('near the end of a budget, a large request is turned away for more urgent ones', t => {
	t.true(isKeptForUrgent(inputs));
	t.false(isKeptForUrgent({...inputs, uncommitted: 100_000}));
});

test('a request smaller than the more urgent ones takes its turn: turning it away would make room for none', t => {
	t.false(isKeptForUrgent({...inputs, tokens: 399}));
});

test('nothing is kept where nobody more urgent asks', t => {
	t.false(isKeptForUrgent({...inputs, urgentShare: 0, urgentMeanTokens: 0}));
});

test('what counts as more urgent follows the demand of the last seconds', t => {
	let time = 0;
	const record = createUrgencyRecord(() => time);
	record.note('b', 0, 900);
	record.note('b', 1, 1800);
	record.note('b', 2, 300);
	t.deepEqual(record.moreUrgentDemand('b', 0), {share: 0, meanTokens: 0});
	t.deepEqual(record.moreUrgentDemand('b', 1), {share: 0.3, meanTokens: 900});
	t.deepEqual(record.moreUrgentDemand('b', 2), {share: 0.9, meanTokens: 1350});
	t.deepEqual(record.moreUrgentDemand('other', 2), {share: 0, meanTokens: 0});
	time = 60_000;
	t.deepEqual(record.moreUrgentDemand('b', 1), {share: 0, meanTokens: 0}, 'a minute later nobody asked lately');
});
