import test from 'ava';
import {createAccounts} from '../lib/rights/create-accounts.js';
import {createBorrower} from '../lib/lending/create-borrower.js';
import type {LoanQuestion} from '../lib/lending/loan-question.js';

const budget = 'org';
const allocator = {holder: 'edge-1#a', address: '10.0.0.1:1', hall: 'h'};

const start = () => {
	const accounts = createAccounts();
	const questions: LoanQuestion[] = [];
	const answers: Array<() => void> = [];
	let lent = 0;
	const borrower = createBorrower({
		accounts,
		loanClient: {
			async borrow(question) {
				questions.push(question);
				await new Promise<void>(resolve => {
					answers.push(resolve);
				});
				lent += question.tokens;
				accounts.step(budget, {type: 'received', from: allocator.holder, total: lent});
				return true;
			},
			handBack: () => undefined,
		},
		allocatorsOf: () => [allocator],
		log: () => undefined,
		now: () => 0,
	});
	const reserve = async (tokens: number): Promise<boolean> => {
		await borrower.borrow(budget, tokens, [allocator]);
		return accounts.take(budget, tokens);
	};

	return {questions, answers, reserve};
};

test('one question asks for all requests that wait', async t => {
	const {questions, answers, reserve} = start();
	const first = reserve(100);
	const others = [200, 300, 400].map(async tokens => reserve(tokens));
	answers.shift()!();
	t.true(await first);
	while (answers.length === 0) {
		await Promise.resolve();
	}

	answers.shift()!();
	t.deepEqual(await Promise.all(others), [true, true, true]);
	t.deepEqual(questions.map(({tokens}) => tokens), [100, 900]);
});
