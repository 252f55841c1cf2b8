import type {Result, ValidationIssue} from '@deckwheel/core';
import {awaitSettings} from './await-settings.js';
import {formatIssues} from './format-issues.js';
import type {LogFields} from './log-fields.js';

type Options = {
	readonly read: () => Result<unknown, readonly ValidationIssue[]>;
	readonly log: (event: 'settings_reread', fields: LogFields) => void;
};

/** Reads the settings of a running program again, to log whether it could start with them: addresses and bounds of a running program do not change. */
export const rereadSettings = async ({read, log}: Options): Promise<void> => {
	const settings = await awaitSettings(read);
	log('settings_reread', settings.ok ? {isSound: true} : {isSound: false, faults: formatIssues(settings.error)});
};
