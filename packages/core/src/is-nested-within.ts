type Container = Readonly<Record<string, unknown>> | readonly unknown[];

const isContainer = (value: unknown): value is Container => typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);

/** Returns the lists and objects that lie directly within others. */
const containersWithin = (containers: readonly Container[]): readonly Container[] => {
	const inner: Container[] = [];
	for (const container of containers) {
		for (const item of Object.values(container) as readonly unknown[]) {
			if (isContainer(item)) {
				inner.push(item);
			}
		}
	}

	return inner;
};

/**
Whether no value lies deeper within a JSON value than this number of lists and objects. Pure. Code that descends by recursion must not get a
value of any depth: it would exhaust the stack.
*/
export const isNestedWithin = (value: unknown, maxDepth: number): boolean => {
	let containers: readonly Container[] = isContainer(value) ? [value] : [];
	for (let depth = 0; depth < maxDepth && containers.length > 0; depth++) {
		containers = containersWithin(containers);
	}

	return containers.length === 0;
};
