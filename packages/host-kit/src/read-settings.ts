import {readFileSync} from 'node:fs';
import {
	fail, findFaults, succeed, type Fault, type Outcome,
} from '@deckwheel/core';

/** A schema of zod, as far as it is used here. */
type Schema<T> = {
	readonly safeParse: (value: unknown) =>
		| {readonly success: true; readonly data: T}
		| {readonly success: false; readonly error: Parameters<typeof findFaults>[0]};
};

const readDocument = (path: string): Outcome<unknown, Fault> => {
	try {
		return succeed(JSON.parse(readFileSync(path, 'utf8')));
	} catch (error) {
		return fail({path: '(document)', message: `cannot be read as JSON: ${(error as Error).message}`});
	}
};

/** Reads and checks a settings file. On failure, every fault with its path. */
export const readSettings = <T>(path: string, schema: Schema<T>): Outcome<T, readonly Fault[]> => {
	const document = readDocument(path);
	if (!document.ok) {
		return fail([document.error]);
	}

	const parsed = schema.safeParse(document.value);
	return parsed.success ? succeed(parsed.data) : fail(findFaults(parsed.error));
};
