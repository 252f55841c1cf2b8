import {createHash} from 'node:crypto';
import type {RequestIdentity} from './request-identity.js';

/** Length in base64url characters of 6 bits each: 132 bits, so that two different requests never get the same fingerprint. */
const fingerprintLength = 22;

/**
Returns the fingerprint of a request, which is the same on every host and each time that the caller retries the request. Pure.

Headers are left out, because some of them differ each time that the request is sent.
*/
export const fingerprintOf = ({method, hostHeader, path, organisation, body}: RequestIdentity): string =>
	createHash('sha256')
		.update(JSON.stringify([method, hostHeader, path, organisation]))
		.update(body)
		.digest('base64url')
		.slice(0, fingerprintLength);
