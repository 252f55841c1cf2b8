import type {Fault, Outcome} from '@deckwheel/core';
import {readSettings} from '@deckwheel/host-kit';
import {settingsSchema} from './daemon-settings-schema.js';
import type {Settings} from './daemon-settings.js';

/** Reads and checks a settings file. Reports all faults at once. */
export const loadSettings = (path: string): Outcome<Settings, readonly Fault[]> => readSettings(path, settingsSchema);
