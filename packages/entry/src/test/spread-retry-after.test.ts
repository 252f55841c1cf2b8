import test from 'ava';
import {hostRefusals} from '../lib/admission/host-refusals.js';
import type {HostRefusal} from '../lib/admission/host-refusal.js';
import {refuseForRights} from '../lib/admission/refuse-for-rights.js';
import {spreadRetryAfter} from '../lib/admission/spread-retry-after.js';
import {refusalOfResult} from '../lib/request/refusal-of-result.js';
import {planRetryAfter} from '../lib/rights/plan-retry-after.js';
import {createRandom} from './lib/create-random.js';

// Refused together, callers came back together, and most of them were refused again.
test('callers who are refused for lack of room at the same moment come back at the same moment', t => {
	const random = createRandom(7);
	const count = 1000;
	for (const refusal of [hostRefusals.overloaded, hostRefusals.noEndpoint, hostRefusals.budgetKept, refuseForRights(planRetryAfter(0))]) {
		const told = refusal.retryAfterSeconds!;
		const returns = Array.from({length: count}, () => spreadRetryAfter(refusal, random()).retryAfterSeconds!);
		t.true(Math.min(...returns) >= told, 'before the room is expected');
		t.true(Math.max(...returns) <= Math.round(told * 1500) / 1000);
		for (let tenth = 0; tenth < 10; tenth++) {
			const from = told * (1 + (tenth / 20));
			const inTenth = returns.filter(seconds => seconds >= from && seconds < from + (told / 20)).length;
			t.true(inTenth < 2 * count / 10, `${inTenth} of ${count} callers in one tenth of the range`);
		}
	}
});

test('a time changes that an endpoint or a rule states, or that another host makes good', t => {
	const exact: readonly HostRefusal[] = [hostRefusals.hostOverloaded, hostRefusals.configUnconfirmed, hostRefusals.endpointsEvacuated, hostRefusals.requestBlocked, hostRefusals.budgetExhausted];
	for (const refusal of exact) {
		t.is(spreadRetryAfter(refusal, 0.9), refusal);
	}

	const resting = refusalOfResult({outcome: 'not_run', reason: 'endpoints_resting', retryAt: 21_000}, 1000);
	t.is(spreadRetryAfter(resting, 0.9).retryAfterSeconds, 20);
	const lackOfEndpoints = refusalOfResult({outcome: 'not_run', reason: 'no_endpoint', retryAt: 21_000}, 1000);
	t.is(spreadRetryAfter(lackOfEndpoints, 0.9).retryAfterSeconds, 20);
	for (const downMs of [12_000, 60_000]) {
		const outage = refuseForRights(planRetryAfter(downMs));
		t.is(outage.retryAfterSeconds, Math.min(30, downMs / 1000));
		t.is(spreadRetryAfter(outage, 0.9).retryAfterSeconds, outage.retryAfterSeconds, 'the length of an outage');
	}
});
