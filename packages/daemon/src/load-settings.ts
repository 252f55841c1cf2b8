import {readFile} from 'node:fs/promises';
import {findFaults, type Fault} from '@deckwheel/bundle';
import {fail, succeed, type Outcome} from '@deckwheel/core';
import {settingsSchema} from './settings-schema.js';
import type {Settings} from './settings.js';

const readDocument = async (path: string): Promise<Outcome<unknown, Fault>> => {
	try {
		return succeed(JSON.parse(await readFile(path, 'utf8')));
	} catch (error) {
		return fail({path: '(document)', message: `cannot be read as JSON: ${(error as Error).message}`});
	}
};

/** Reads and checks a settings file. Reports all faults at once. */
export const loadSettings = async (path: string): Promise<Outcome<Settings, readonly Fault[]>> => {
	const document = await readDocument(path);
	if (!document.ok) {
		return fail([document.error]);
	}

	const parsed = settingsSchema.safeParse(document.value);
	return parsed.success ? succeed(parsed.data) : fail(findFaults(parsed.error));
};
