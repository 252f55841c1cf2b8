import type {Evacuations} from './evacuations.js';

/** Takes in the halls that are to be evacuated now. Pure. `now` is monotonic ms. */
export const stepEvacuations = ({halls: before, reopenedAt}: Evacuations, halls: ReadonlySet<string>, now: number): Evacuations => {
	const reopened = [...before].filter(hall => !halls.has(hall));
	return {halls, reopenedAt: new Map([...reopenedAt, ...reopened.map(hall => [hall, now] as const)])};
};
