/**
Guards against a nearly used-up budget that refuses its most urgent requests as often as the others.

The store is out of reach, comes back, and all hosts crash. What is left of the budget then serves the first requests, and a few large ones
take what would have served many urgent ones. 12 s later next to nothing is served: budgets had 0 left in the store 2 to 6 s after the
restart, and 131 requests were refused in four seconds, each of them more urgent or smaller than those that had been served.
*/
import test from 'ava';
import {isKeptForUrgent} from '../lib/budget-pacing/is-kept-for-urgent.js';
import {createUrgencyRecord} from '../lib/budget-pacing/create-urgency-record.js';

const fleetRate = 1000;
const inputs = {
	tokens: 500, uncommitted: 2000, fleetRate, urgentShare: 0.3, urgentMeanTokens: 400,
};

test('when a budget is nearly used up, a large request is refused in favour of more urgent ones', t => {
	t.true(isKeptForUrgent(inputs));
	t.false(isKeptForUrgent({...inputs, uncommitted: 100_000}));
});

test('a request smaller than the more urgent ones is served, since its tokens would not be enough for any of them', t => {
	t.false(isKeptForUrgent({...inputs, tokens: 399}));
});

test('nothing is kept if there are no more urgent requests', t => {
	t.false(isKeptForUrgent({...inputs, urgentShare: 0, urgentMeanTokens: 0}));
});

test('the demand of more urgent requests covers only the last seconds', t => {
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
	t.deepEqual(record.moreUrgentDemand('b', 1), {share: 0, meanTokens: 0}, 'a minute later there is no recent demand');
});
