import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {newReplica} from '../replica/new-replica.js';
import {stepReplica} from '../replica/step-replica.js';
import {createWorld} from './lib/create-world.js';
import type {StepName} from './lib/step-name.js';

const seed = Number(process.env.SEED ?? 20_261_202);

// How often each kind of step is picked: messages mostly arrive, hosts seldom die.
const weights: Readonly<Record<StepName, number>> = {
	deliver: 36, claim: 16, finishWrite: 10, settle: 6, draw: 5, learnPair: 4, propose: 3, resync: 3, want: 3, receive: 3, die: 2, restart: 2, giveBack: 2, breakLink: 1,
};
const kind = fc.constantFrom(...Object.entries(weights).flatMap(([name, weight]) =>
	Array.from({length: weight}, () => name as StepName)));
const steps = fc.array(fc.tuple(kind, fc.nat(1000), fc.nat(1000)), {minLength: 100, maxLength: 500, size: 'max'});

test('rights, runs and bills hold whatever arrives, is lost, dies or is believed', t => {
	t.log(`seed ${seed}`);
	let runs = 0;
	fc.assert(fc.property(steps, sequence => {
		const world = createWorld();
		for (const [name, a, b] of sequence) {
			world.act(name, a, b);
			if (world.faults.length > 0) {
				throw new Error(world.faults.join('; '));
			}
		}

		runs += world.counts().runs;
	}), {seed, numRuns: Number(process.env.RUNS ?? 1500), endOnFailure: process.env.SHRINK === undefined});
	t.true(runs > 100, `only ${runs} runs came about`);
});

test('a host that is named primary without the pair\'s ledger does not serve', t => {
	const {replica} = stepReplica(newReplica('a~1', 0), {type: 'configure', pair: {epoch: 1, generation: 1, primary: 'b~1'}, holder: 'x#1'}, 1);
	const named = stepReplica(replica, {
		type: 'configure',
		pair: {
			epoch: 2, generation: 1, primary: 'a~1', backup: 'b~1',
		},
		holder: 'x#1',
	}, 1);
	const asked = stepReplica(named.replica, {type: 'request', id: 1, request: {type: 'lookup', budget: 'b', key: 'k'}}, 1);
	t.like(asked.effects[0], {type: 'reply', reply: {type: 'not_owner'}});
});
