import {fingerprintOf} from './fingerprint-of.js';
import type {RequestIdentity} from './request-identity.js';

/** Creates a function that returns the fingerprint of one request. The first call computes it, because most requests need none. */
export const createFingerprint = (identity: RequestIdentity): (() => string) => {
	let fingerprint: string | undefined;
	return () => {
		fingerprint ??= fingerprintOf(identity);
		return fingerprint;
	};
};
