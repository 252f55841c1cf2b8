import type {ValidationIssue, Result} from '@deckwheel/core';
import {readSettings} from '@deckwheel/host-kit';
import {daemonSettingsSchema} from './daemon-settings-schema.js';
import type {DaemonSettings} from './daemon-settings.js';

/** Reads and checks a settings file. Reports all faults at once. */
export const loadDaemonSettings = (path: string): Result<DaemonSettings, readonly ValidationIssue[]> => readSettings(path, daemonSettingsSchema);
