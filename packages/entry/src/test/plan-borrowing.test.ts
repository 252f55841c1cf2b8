import test from 'ava';
import {planBorrowing} from '../lib/lending/plan-borrowing.js';

test('a host with rare requests borrows what the waiting request lacks, and nothing ahead', t => {
	t.is(planBorrowing({available: 300, rate: 400, tokens: 17_000}).wanted, 16_700);
});

test('a host with steady demand borrows ahead', t => {
	t.is(planBorrowing({available: 0, rate: 20_000, tokens: 17_000}).wanted, 47_000);
});

test('a host with rare requests hands back what a request left over', t => {
	t.is(planBorrowing({available: 900, rate: 3000, tokens: 17_000}).surplus, 900);
});

test('a host with steady demand keeps the rights that it needs soon', t => {
	t.is(planBorrowing({available: 50_000, rate: 20_000, tokens: 17_000}).surplus, 0);
});

test('a host keeps idle rights that are too few to be worth a message', t => {
	t.is(planBorrowing({available: 400, rate: 0, tokens: 17_000}).surplus, 0);
});
