import test from 'ava';
import fc from 'fast-check';
import {isNestedWithin} from '../is-nested-within.js';

const depthOf = (value: unknown): number => typeof value === 'object' && value !== null ? 1 + Math.max(0, ...Object.values(value).map(inner => depthOf(inner))) : 0;

test('a depth is counted wrong', t => {
	fc.assert(fc.property(fc.jsonValue(), value => {
		const depth = depthOf(value);
		t.true(isNestedWithin(value, depth));
		t.is(isNestedWithin(value, depth - 1), depth === 0);
	}));
});

test('a value of any depth exhausts the stack', t => {
	t.false(isNestedWithin(JSON.parse('['.repeat(1_000_000) + ']'.repeat(1_000_000)), 64));
	t.false(isNestedWithin(JSON.parse('{"a":'.repeat(1_000_000) + '1' + '}'.repeat(1_000_000)), 900_000));
});
