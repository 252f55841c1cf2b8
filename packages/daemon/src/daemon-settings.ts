import type {z} from 'zod';
import type {daemonSettingsSchema} from './daemon-settings-schema.js';

/** The daemon's checked settings. */
export type DaemonSettings = Readonly<z.infer<typeof daemonSettingsSchema>>;
