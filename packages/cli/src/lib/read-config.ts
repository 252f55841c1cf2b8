import {readFile} from 'node:fs/promises';
import {
	findValidationIssues, type ValidationIssue, fail, succeed, type Result,
} from '@deckwheel/core';
import {z} from 'zod';
import type {ToolConfig} from './tool-config.js';

const schema = z.strictObject({
	platform: z.url(),
	hosts: z.array(z.url()).default([]),
	slots: z.number().int().positive().default(16),
});

/** Reads and checks the tool's configuration file. */
export const readConfig = async (path: string): Promise<Result<ToolConfig, readonly ValidationIssue[]>> => {
	try {
		const parsed = schema.safeParse(JSON.parse(await readFile(path, 'utf8')));
		return parsed.success ? succeed(parsed.data) : fail(findValidationIssues(parsed.error));
	} catch (error) {
		return fail([{path: '(document)', message: (error as Error).message}]);
	}
};
