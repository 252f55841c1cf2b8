import test from 'ava';
import {remainingPromptTokens} from '../load/remaining-prompt-tokens.js';

test('pending tokens shrink with the age of their report, by the pace of the endpoint, to none', t => {
	const reported = {tokens: 10_000, pace: 1};
	t.is(remainingPromptTokens({...reported, ageMs: 0}), 10_000);
	const after100 = remainingPromptTokens({...reported, ageMs: 100});
	t.true(after100 < 10_000 && after100 > 0);
	t.is(remainingPromptTokens({...reported, ageMs: 200, pace: 2}), after100);
	t.is(remainingPromptTokens({...reported, ageMs: 60_000}), 0);
});
