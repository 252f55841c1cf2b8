import {fingerprintOf} from './fingerprint-of.js';
import type {RequestIdentity} from './request-identity.js';

/** Creates the fingerprint of one request, which is worked out when it is first asked for: most requests need none. */
export const createFingerprint = (identity: RequestIdentity): (() => string) => {
	let fingerprint: string | undefined;
	return () => {
		fingerprint ??= fingerprintOf(identity);
		return fingerprint;
	};
};
