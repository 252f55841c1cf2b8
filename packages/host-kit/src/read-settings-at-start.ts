import {formatIssue, type Result, type ValidationIssue} from '@deckwheel/core';
import {awaitSettings} from './await-settings.js';
import {formatIssues} from './format-issues.js';
import type {LogFields} from './log-fields.js';

type Options<T> = {
	/** The path of the settings file, for messages. */
	readonly file: string;
	readonly read: () => Result<T, readonly ValidationIssue[]>;
	readonly log: (event: 'settings_unread' | 'settings_invalid', fields: LogFields) => void;
};

/**
Reads the settings with which a program starts (`awaitSettings`). Resolves with `undefined` where they stay invalid: each fault is in the log
and on standard error then.
*/
export const readSettingsAtStart = async <T>({file, read, log}: Options<T>): Promise<T | undefined> => {
	const settings = await awaitSettings(read, {
		onUnread(issues) {
			log('settings_unread', {file, faults: formatIssues(issues)});
		},
	});
	if (settings.ok) {
		return settings.value;
	}

	for (const issue of settings.error) {
		log('settings_invalid', {file, path: issue.path, message: issue.message});
		console.error(`${file}: ${formatIssue(issue)}`);
	}

	return undefined;
};
