import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {newReplica} from '../replica/new-replica.js';
import {stepReplica} from '../replica/step-replica.js';
import {createLedgerModel} from './lib/create-ledger-model.js';
import type {StepName} from './lib/step-name.js';

const seed = Number(process.env.SEED ?? 20_261_202);

// The relative frequency of each kind of step: most messages arrive, and hosts seldom crash.
const weights: Readonly<Record<StepName, number>> = {
	deliver: 36, claim: 16, finishWrite: 10, settle: 6, draw: 5, learnPair: 4, propose: 3, resync: 3, want: 3, receive: 3, crash: 2, restart: 2, giveBack: 2, breakLink: 1,
};
const stepName = fc.constantFrom(...Object.entries(weights).flatMap(([name, weight]) =>
	Array.from({length: weight}, () => name as StepName)));
const steps = fc.array(fc.tuple(stepName, fc.nat(1000), fc.nat(1000)), {minLength: 100, maxLength: 500, size: 'max'});

test('no order of messages, losses, crashes and false suspicions overspends a budget, repeats a run or changes a bill', t => {
	t.log(`seed ${seed}`);
	let runs = 0;
	fc.assert(fc.property(steps, sequence => {
		const model = createLedgerModel();
		for (const [name, a, b] of sequence) {
			model.runStep(name, a, b);
			if (model.violations.length > 0) {
				throw new Error(model.violations.join('; '));
			}
		}

		runs += model.counts().runs;
	}), {seed, numRuns: Number(process.env.RUNS ?? 1500), endOnFailure: process.env.SHRINK === undefined});
	t.true(runs > 100, `only ${runs} runs were started`);
});

test('a host that becomes primary without the pair\'s ledger does not serve', t => {
	const {replica} = stepReplica(newReplica('a~1', 0), {type: 'configure', pair: {epoch: 1, generation: 1, primary: 'b~1'}, holder: 'x#1'}, 1);
	const configured = stepReplica(replica, {
		type: 'configure',
		pair: {
			epoch: 2, generation: 1, primary: 'a~1', backup: 'b~1',
		},
		holder: 'x#1',
	}, 1);
	const lookup = stepReplica(configured.replica, {type: 'request', id: 1, request: {type: 'lookup', budget: 'b', key: 'k'}}, 1);
	t.like(lookup.effects[0], {type: 'reply', reply: {type: 'not_owner'}});
});
