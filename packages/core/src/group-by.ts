/** Groups members by a key. The keys, and the members of a group, keep the order of `members`. Pure. */
export const groupBy = <T, K>(members: Iterable<T>, keyOf: (member: T) => K): ReadonlyMap<K, readonly T[]> => {
	const groups = new Map<K, T[]>();
	for (const member of members) {
		const key = keyOf(member);
		const group = groups.get(key);
		if (group) {
			group.push(member);
		} else {
			groups.set(key, [member]);
		}
	}

	return groups;
};
