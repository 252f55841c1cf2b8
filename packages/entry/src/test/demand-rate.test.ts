import test from 'ava';
import {demandRate} from '../lib/rights/demand-rate.js';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import type {HostAccount} from '../lib/rights/host-account.js';
import {stepAccount} from '../lib/rights/step-account.js';

const afterSteadyDemand = (seconds: number, perSecond: number): HostAccount => {
	let account = emptyHostAccount;
	for (let elapsedSeconds = 0; elapsedSeconds < seconds; elapsedSeconds += 0.5) {
		account = stepAccount(account, {type: 'demanded', by: 'own_request', tokens: perSecond / 2});
		account = stepAccount(account, {type: 'aged', seconds: 0.5});
	}

	return account;
};

test('the rate of a steady demand is right after a few seconds as well as after many', t => {
	for (const seconds of [3, 6, 30]) {
		const rate = demandRate(afterSteadyDemand(seconds, 1000));
		t.true(rate > 800 && rate < 1200, `${rate} after ${seconds} s`);
	}
});

test('a single request does not count as a steady demand', t => {
	const account = stepAccount(emptyHostAccount, {type: 'demanded', by: 'own_request', tokens: 1000});
	t.true(demandRate(account) < 1000);
});

test('the rate falls to 0 after the demand has ended', t => {
	const account = stepAccount(afterSteadyDemand(10, 1000), {type: 'aged', seconds: 60});
	t.is(demandRate(stepAccount(account, {type: 'aged', seconds: 60})), 0);
});
