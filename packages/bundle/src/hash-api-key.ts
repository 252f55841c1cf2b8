import {createHash} from 'node:crypto';

/** Hashes an API key with SHA-256, in hexadecimal: the form in which a bundle stores API keys and hosts look them up. */
export const hashApiKey = (apiKey: string): string => createHash('sha256').update(apiKey).digest('hex');
