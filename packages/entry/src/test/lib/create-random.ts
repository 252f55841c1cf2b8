import {hash32} from '@deckwheel/core';

/** Numbers from 0 up to 1 that follow from a seed. */
export const createRandom = (seed: number): (() => number) => {
	let drawn = 0;
	return () => hash32(`${seed} ${drawn++}`) / (2 ** 32);
};
