import {noPlainLookup} from './scripts/no-plain-lookup.mjs';

/**
XO's rules, with the exceptions that the house style or the wire formats ask for.

@type {import('xo').FlatXoConfig}
*/
const config = [
	{
		ignores: ['**/dist/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Wire formats, error codes and span attributes have names of their own (`max_tokens`, `not_run`, `host.name`).
			'@typescript-eslint/naming-convention': 'off',
			// Tasks do one thing after the other on purpose: a claim before its run, one write to an object at a time.
			'no-await-in-loop': 'off',
			// The collections of `immutable` are made without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['List', 'ImmutableMap']}],
			// The house style asks for the short names that custom has.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					req: true, res: true, cfg: true, err: true, ctx: true, i: true,
				},
			}],
			// Node's own modules speak EventEmitter.
			'unicorn/prefer-event-target': 'off',
			// A switch with a default says what happens to the rest.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
		},
	},
	{
		files: ['**/src/**/*.ts'],
		plugins: {deckwheel: {rules: {'no-plain-lookup': noPlainLookup}}},
		rules: {'deckwheel/no-plain-lookup': 'error'},
	},
	{
		// `ownValue` is the one lookup. Tests, the laboratory and the stand-ins name what they look up.
		files: ['packages/core/src/own-value.ts', '**/src/test/**', 'packages/lab/**', 'packages/stand-ins/**'],
		rules: {'deckwheel/no-plain-lookup': 'off'},
	},
	{
		files: ['scripts/**'],
		rules: {
			// One mutation after the other, in one scratch copy.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/src/test/**'],
		rules: {
			// AVA runs the compiled tests, and is a dependency of the whole repository.
			'ava/no-ignored-test-files': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
