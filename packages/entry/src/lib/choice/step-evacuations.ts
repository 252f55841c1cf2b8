import type {Evacuations} from './evacuations.js';

/**
Replaces the evacuated halls, and records that the ones no longer among them are reopened now. Pure.

@param halls All halls that are evacuated from now on.
@param now Monotonic ms.
*/
export const stepEvacuations = ({halls: before, reopenedAt}: Evacuations, halls: ReadonlySet<string>, now: number): Evacuations => {
	const reopened = [...before].filter(hall => !halls.has(hall));
	return {halls, reopenedAt: new Map([...reopenedAt, ...reopened.map(hall => [hall, now] as const)])};
};
