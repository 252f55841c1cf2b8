import {readFileSync} from 'node:fs';
import {
	fail, findValidationIssues, succeed, type ValidationIssue, type Result,
} from '@deckwheel/core';

/** The part of a zod schema that `readSettings` uses. */
type Schema<T> = {
	readonly safeParse: (value: unknown) =>
		| {readonly success: true; readonly data: T}
		| {readonly success: false; readonly error: Parameters<typeof findValidationIssues>[0]};
};

const readDocument = (path: string): Result<unknown, ValidationIssue> => {
	try {
		return succeed(JSON.parse(readFileSync(path, 'utf8')));
	} catch (error) {
		return fail({path: '(document)', message: `cannot be read as JSON: ${(error as Error).message}`});
	}
};

/** Reads a JSON settings file and validates it. On failure, the result lists every validation issue with its path. */
export const readSettings = <T>(path: string, schema: Schema<T>): Result<T, readonly ValidationIssue[]> => {
	const document = readDocument(path);
	if (!document.ok) {
		return fail([document.error]);
	}

	const parsed = schema.safeParse(document.value);
	return parsed.success ? succeed(parsed.data) : fail(findValidationIssues(parsed.error));
};
