import {hash32} from '@deckwheel/core';

/** Creates a generator of pseudo-random numbers of at least 0 and below 1. The same seed gives the same sequence. */
export const createRandom = (seed: number): (() => number) => {
	let callCount = 0;
	return () => hash32(`${seed} ${callCount++}`) / (2 ** 32);
};
