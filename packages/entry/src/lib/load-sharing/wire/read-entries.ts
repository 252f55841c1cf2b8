/** Entries read from a flat list, and how many were left out because they cannot be true. */
type Entries<T> = {readonly entries: readonly T[]; readonly leftOut: number};

/**
Reads entries of `size` numbers each from a flat list.

@param read Returns the entry of some numbers; `undefined` if they cannot be true.
*/
export const readEntries = <T>(numbers: readonly number[], size: number, read: (numbers: readonly number[], index: number) => T | undefined): Entries<T> => {
	const entries: T[] = [];
	const count = Math.ceil(numbers.length / size);
	for (let index = 0; index < count; index++) {
		const part = numbers.slice(index * size, (index + 1) * size);
		const entry = part.length === size ? read(part, index) : undefined;
		if (entry !== undefined) {
			entries.push(entry);
		}
	}

	return {entries, leftOut: count - entries.length};
};
