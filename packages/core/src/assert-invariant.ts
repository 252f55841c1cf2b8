import {InvariantError} from './invariant-error.js';

/** Throws an `InvariantError` unless the condition holds. */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message) as Error;
	}
}
