import type {EndpointIndex} from './endpoint-index.js';

const toPercent = (pace: number | undefined): number => Math.round((pace ?? 0) * 100);

/** Writes paces as a flat list of percents, 0 for an unknown one: in the order of `index` or, without one, the hash and percent of each known one. */
export const writePaces = (paces: ReadonlyMap<number, number>, index?: EndpointIndex): number[] =>
	index ? index.hashes.map(hash => toPercent(paces.get(hash))) : [...paces].flatMap(([hash, pace]) => [hash, toPercent(pace)]);
