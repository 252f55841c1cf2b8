import {createHash} from 'node:crypto';

/** Identifies a bundle's exact text: the first 16 digits of its SHA-256. */
export const draftId = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 16);
