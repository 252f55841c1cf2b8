import {createHash} from 'node:crypto';

/** The form in which an API key is stored and looked up. */
export const hashApiKey = (apiKey: string): string => createHash('sha256').update(apiKey).digest('hex');
