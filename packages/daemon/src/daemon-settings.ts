import type {z} from 'zod';
import type {settingsSchema} from './daemon-settings-schema.js';

/** The daemon's checked settings. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;
