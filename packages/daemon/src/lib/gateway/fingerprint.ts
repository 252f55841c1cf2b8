import {createHash} from 'node:crypto';

/** A hash of what a request asks for. A retry has the same; another request under the same key does not. */
export const fingerprint = (...parts: readonly string[]): string =>
	createHash('sha256').update(JSON.stringify(parts)).digest('hex');
