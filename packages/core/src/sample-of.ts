/**
Draws some members at random, each at most once. Returns all members where there are not more. Pure.

@param random Returns a random number from 0 up to but not including 1.
*/
export const sampleOf = <T>(members: readonly T[], count: number, random: () => number): readonly T[] => {
	if (count >= members.length) {
		return members;
	}

	// Floyd's algorithm: one random number a member drawn, whatever the number of members.
	const drawn = new Set<number>();
	for (let last = members.length - count; last < members.length; last++) {
		const index = Math.floor(random() * (last + 1));
		drawn.add(drawn.has(index) ? last : index);
	}

	return [...drawn].map(index => members[index]!);
};
