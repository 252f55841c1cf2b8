import test from 'ava';
import {demandRate} from '../lib/rights/demand-rate.js';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import type {HostAccount} from '../lib/rights/host-account.js';
import {stepAccount} from '../lib/rights/step-account.js';

const afterSteady = (seconds: number, perSecond: number): HostAccount => {
	let account = emptyHostAccount;
	for (let passed = 0; passed < seconds; passed += 0.5) {
		account = stepAccount(account, {type: 'demanded', by: 'own_request', tokens: perSecond / 2});
		account = stepAccount(account, {type: 'aged', seconds: 0.5});
	}

	return account;
};

test('steady demand is known after a few seconds as well as after many', t => {
	for (const seconds of [3, 6, 30]) {
		const rate = demandRate(afterSteady(seconds, 1000));
		t.true(rate > 800 && rate < 1200, `${rate} after ${seconds} s`);
	}
});

test('a single request is no steady demand', t => {
	const account = stepAccount(emptyHostAccount, {type: 'demanded', by: 'own_request', tokens: 1000});
	t.true(demandRate(account) < 1000);
});

test('demand that ended is forgotten', t => {
	const account = stepAccount(afterSteady(10, 1000), {type: 'aged', seconds: 60});
	t.is(demandRate(stepAccount(account, {type: 'aged', seconds: 60})), 0);
});
