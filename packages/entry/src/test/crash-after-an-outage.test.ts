/**
Guards against rights that are stranded when all hosts crash soon after an outage of the store.

Seven hosts could not reach the store for 7.8 s, the store did not answer for 4.8 s more, a data hall was cut off from the others, and 2.4 s
after that all hosts crashed at once. Requests were served well for the first two seconds after the restart; 12 s later 30 of 131 were.

The callers of an organisation stay at one host. When the store was back, that host drew rights as if the tokens that it had spent during
the outage were still left. The other hosts held as much as was right for the budget of twenty seconds earlier, or had lent it for loan
requests that no host waited for any more. Of one budget the crashed hosts held 86 of 100 tokens that remained.
*/
import test from 'ava';
import fc from 'fast-check';
import {holdingPolicySettings} from '../lib/rights/holding-policy-settings.js';
import {simulateCrashOfAllHosts, type CrashScenario} from './lib/simulate-crash-of-all-hosts.js';

const hosts = 7;

/** Rights of this size are not worth a write to the store, in tokens. Each host may hold them beyond its part. */
const negligibleTokens = 2000;

const simulate = async (scenario: Pick<CrashScenario, 'limit' | 'outages' | 'partition' | 'crash'>) => {
	const {remainingAtCrash, drawableAfterCrash} = await simulateCrashOfAllHosts({
		...scenario, hosts, requestTokens: [9000], requestGapMs: 300, otherHostsTokens: 41_000, end: scenario.crash.until,
	});
	const stranded = remainingAtCrash - drawableAfterCrash;
	const maxStranded = (remainingAtCrash * holdingPolicySettings.shareOfRest) + (hosts * negligibleTokens);
	return {isWithinLimit: stranded <= maxStranded, message: `${stranded} of ${remainingAtCrash} tokens were held by crashed hosts; at most ${maxStranded} may be`};
};

const scenarios = [1_500_000, 1_700_000, 1_900_000].map(limit => ({
	limit, outages: [{from: 24_000, until: 36_600}], partition: {from: 33_500, until: 38_600}, crash: {from: 41_000, until: 41_900},
}));

test.serial('hosts that crash after an outage strand no more than they may hold of what remains', async t => {
	for (const scenario of scenarios) {
		const {isWithinLimit, message} = await simulate(scenario);
		t.log(message);
		t.true(isWithinLimit);
	}
});

// Times are ms. The crash comes after hosts have had time to read from the store again; the partition comes before, during or after the outage.
const anyScenario = fc.record({
	limit: fc.integer({min: 900_000, max: 2_500_000}),
	outageFrom: fc.integer({min: 6000, max: 16_000}),
	outageMs: fc.integer({min: 2000, max: 13_000}),
	partitionFrom: fc.integer({min: 4000, max: 24_000}),
	partitionMs: fc.integer({min: 0, max: 6000}),
	crashAfterMs: fc.integer({min: 3000, max: 8000}),
});

test.serial('in any order of outage, partition and crash, crashed hosts strand no more than hosts may hold', async t => {
	await fc.assert(fc.asyncProperty(anyScenario, async ({limit, outageFrom, outageMs, partitionFrom, partitionMs, crashAfterMs}) => {
		const outageUntil = outageFrom + outageMs;
		const crash = outageUntil + crashAfterMs;
		const {isWithinLimit, message} = await simulate({
			limit, outages: [{from: outageFrom, until: outageUntil}], partition: {from: partitionFrom, until: partitionFrom + partitionMs}, crash: {from: crash, until: crash + 900},
		});
		t.log(message);
		t.true(isWithinLimit);
	}), {numRuns: 12, seed: 29});
});
