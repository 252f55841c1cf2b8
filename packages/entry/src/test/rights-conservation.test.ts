import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {createRightsSimulation, type SimulationCommand} from './lib/create-rights-simulation.js';

const hostCount = 4;
const limit = 500;
const seed = 20_261_202;
const runs = Number(process.env.RIGHTS_RUNS ?? 400);

const host = fc.nat({max: hostCount - 1});
const pick = fc.oneof({weight: 4, arbitrary: fc.nat({max: 2})}, {weight: 1, arbitrary: fc.nat({max: 30})});
const tokens = fc.integer({min: 1, max: 250});
const arrayLength = {minLength: 60, maxLength: 400, size: 'max'} as const;

const command: fc.Arbitrary<SimulationCommand> = fc.oneof(
	{weight: 4, arbitrary: fc.record({type: fc.constant('read' as const), host})},
	{weight: 6, arbitrary: fc.record({type: fc.constant('draw' as const), host, tokens})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('give_back' as const), host, tokens})},
	{weight: 8, arbitrary: fc.record({type: fc.constant('write_lands' as const), pick, isAnswered: fc.constantFrom(true, true, true, false)})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('write_times_out' as const), host})},
	{
		weight: 3, arbitrary: fc.record({
			type: fc.constant('lend' as const), host, peer: host, tokens,
		}),
	},
	{weight: 3, arbitrary: fc.record({type: fc.constant('loan_arrives' as const), pick})},
	{weight: 5, arbitrary: fc.record({type: fc.constant('reserve' as const), host, tokens})},
	{
		weight: 3, arbitrary: fc.record({
			type: fc.constant('settle' as const), host, pick, usedShare: fc.constantFrom(0, 0.5, 1),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), host})},
);

test(`hosts never spend what a counter of the whole system would refuse (seed ${seed})`, t => {
	let maxSpent = 0;
	fc.assert(fc.property(fc.array(command, arrayLength), commands => {
		const simulation = createRightsSimulation(hostCount, limit);
		const isWithinLimit = commands.every(entry => simulation.play(entry));
		maxSpent = Math.max(maxSpent, simulation.spent());
		return isWithinLimit;
	}), {seed, numRuns: runs});
	// If no run came near the limit, the property would prove nothing.
	t.true(maxSpent > 0.9 * limit, `${maxSpent}`);
});

test('hosts never spend more than the highest limit when the limit changes', t => {
	const limits = fc.record({type: fc.constant('limit' as const), tokens: fc.integer({min: limit, max: 3 * limit})});
	fc.assert(fc.property(fc.array(fc.oneof({weight: 20, arbitrary: command}, {weight: 1, arbitrary: limits}), arrayLength), commands => {
		const simulation = createRightsSimulation(hostCount, limit);
		return commands.every(entry => simulation.play(entry));
	}), {seed, numRuns: runs});
	t.pass();
});

test('simulated hosts can draw, lend and spend rights', t => {
	const simulation = createRightsSimulation(hostCount, limit);
	const commands: readonly SimulationCommand[] = [
		{type: 'read', host: 0},
		{type: 'draw', host: 0, tokens: 300},
		{type: 'write_lands', pick: 0, isAnswered: true},
		{
			type: 'lend', host: 0, peer: 1, tokens: 200,
		},
		{type: 'loan_arrives', pick: 0},
		{type: 'reserve', host: 1, tokens: 200},
		{type: 'reserve', host: 0, tokens: 100},
	];
	t.true(commands.every(entry => simulation.play(entry)));
	t.is(simulation.spent(), 300);
});
