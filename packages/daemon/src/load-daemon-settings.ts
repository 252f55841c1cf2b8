import type {Fault, Outcome} from '@deckwheel/core';
import {readSettings} from '@deckwheel/host-kit';
import {daemonSettingsSchema} from './daemon-settings-schema.js';
import type {DaemonSettings} from './daemon-settings.js';

/** Reads and checks a settings file. Reports all faults at once. */
export const loadDaemonSettings = (path: string): Outcome<DaemonSettings, readonly Fault[]> => readSettings(path, daemonSettingsSchema);
