type Container = Readonly<Record<string, unknown>> | readonly unknown[];

const isContainer = (value: unknown): value is Container => typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);

/**
Whether no value lies deeper within a JSON value than this number of lists and objects. Pure. Code that descends by recursion must not get a
value of any depth: it would exhaust the stack.
*/
export const isNestedWithin = (value: unknown, maxDepth: number): boolean => {
	let containers = [value].filter(item => isContainer(item));
	for (let depth = 0; depth < maxDepth && containers.length > 0; depth++) {
		containers = containers.flatMap((container): readonly unknown[] => Object.values(container)).filter(item => isContainer(item));
	}

	return containers.length === 0;
};
