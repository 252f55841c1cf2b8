/** Parts members into chunks of at most `size`, in order. Pure. */
export const chunksOf = <T>(members: readonly T[], size: number): ReadonlyArray<readonly T[]> =>
	Array.from({length: Math.ceil(members.length / size)}, (_, index) => members.slice(index * size, (index + 1) * size));
