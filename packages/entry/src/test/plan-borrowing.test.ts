import test from 'ava';
import {planBorrowing} from '../lib/lending/plan-borrowing.js';

test('a host with rare requests borrows what one lacks, and nothing ahead', t => {
	t.is(planBorrowing({available: 300, rate: 400, tokens: 17_000}).wanted, 16_700);
});

test('a host with steady demand borrows ahead', t => {
	t.is(planBorrowing({available: 0, rate: 20_000, tokens: 17_000}).wanted, 47_000);
});

test('what a rare request left over goes back', t => {
	t.is(planBorrowing({available: 900, rate: 3000, tokens: 17_000}).surplus, 900);
});

test('a host with steady demand keeps what it needs soon', t => {
	t.is(planBorrowing({available: 50_000, rate: 20_000, tokens: 17_000}).surplus, 0);
});

test('remainders that are not worth a message stay', t => {
	t.is(planBorrowing({available: 400, rate: 0, tokens: 17_000}).surplus, 0);
});
