import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {createRightsWorld, type WorldCommand} from './lib/rights-world.js';

const hostCount = 4;
const limit = 500;
const seed = 20_261_202;
const runs = Number(process.env.RIGHTS_RUNS ?? 400);

const host = fc.nat({max: hostCount - 1});
const pick = fc.oneof({weight: 4, arbitrary: fc.nat({max: 2})}, {weight: 1, arbitrary: fc.nat({max: 30})});
const tokens = fc.integer({min: 1, max: 250});
const length = {minLength: 60, maxLength: 400, size: 'max'} as const;

const command: fc.Arbitrary<WorldCommand> = fc.oneof(
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

test(`hosts never spend what a counter that sees everything would refuse (seed ${seed})`, t => {
	let mostSpent = 0;
	fc.assert(fc.property(fc.array(command, length), commands => {
		const world = createRightsWorld(hostCount, limit);
		const isKept = commands.every(entry => world.play(entry));
		mostSpent = Math.max(mostSpent, world.spent());
		return isKept;
	}), {seed, numRuns: runs});
	// Runs that never come near the limit would prove nothing.
	t.true(mostSpent > 0.9 * limit, `${mostSpent}`);
});

test('a limit that rises is used, and no more than it', t => {
	const limits = fc.record({type: fc.constant('limit' as const), tokens: fc.integer({min: limit, max: 3 * limit})});
	fc.assert(fc.property(fc.array(fc.oneof({weight: 20, arbitrary: command}, {weight: 1, arbitrary: limits}), length), commands => {
		const world = createRightsWorld(hostCount, limit);
		return commands.every(entry => world.play(entry));
	}), {seed, numRuns: runs});
	t.pass();
});

test('the world lets hosts spend at all', t => {
	const world = createRightsWorld(hostCount, limit);
	const commands: readonly WorldCommand[] = [
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
	t.true(commands.every(entry => world.play(entry)));
	t.is(world.spent(), 300);
});
